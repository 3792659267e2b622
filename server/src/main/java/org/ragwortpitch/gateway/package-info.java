/**
 * The HTTP API for callers: model calls, calls of plain services and the directory of daemon addresses.
 */
package org.ragwortpitch.gateway;
