/**
 * The HTTP/1.1 server for callers: connections, timeouts and request framing.
 */
package org.ragwortpitch.edge.front;
