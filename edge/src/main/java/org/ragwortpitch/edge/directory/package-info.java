/**
 * The HTTP server for callers' address look-ups, readiness checks and metrics.
 */
package org.ragwortpitch.edge.directory;
