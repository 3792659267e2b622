/**
 * Pacing of the requests that all daemons together send to an endpoint which limits their rate.
 */
package org.ragwortpitch.pacing;
