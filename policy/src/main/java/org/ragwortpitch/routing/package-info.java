/**
 * Which endpoint serves a request.
 */
package org.ragwortpitch.routing;
