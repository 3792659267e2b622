/**
 * Connections to endpoints and to the platform.
 */
package org.ragwortpitch.edge.http;
