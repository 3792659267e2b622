/**
 * Admission of requests by a daemon that is shutting down.
 */
package org.ragwortpitch.draining;
