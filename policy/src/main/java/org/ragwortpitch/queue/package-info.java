/**
 * The order in which waiting requests are served under overload.
 */
package org.ragwortpitch.queue;
