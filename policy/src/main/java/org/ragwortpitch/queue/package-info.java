/**
 * Queueing of requests under overload, fair between client accounts.
 */
package org.ragwortpitch.queue;
