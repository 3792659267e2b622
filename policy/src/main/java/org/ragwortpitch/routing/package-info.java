/**
 * Choice of the endpoint that serves a request.
 */
package org.ragwortpitch.routing;
