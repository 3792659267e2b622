/**
 * Outbound HTTP/1.1: pooled connections to endpoints and to the platform.
 */
package org.ragwortpitch.edge.http;
