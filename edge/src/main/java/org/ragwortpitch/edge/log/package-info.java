/**
 * Logging that never blocks the caller.
 */
package org.ragwortpitch.edge.log;
