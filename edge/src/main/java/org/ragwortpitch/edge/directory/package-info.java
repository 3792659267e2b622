/**
 * Where callers are told to connect, readiness and metrics.
 */
package org.ragwortpitch.edge.directory;
