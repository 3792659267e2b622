/**
 * Which request a response on a connection to an endpoint belongs to.
 */
package org.ragwortpitch.response;
