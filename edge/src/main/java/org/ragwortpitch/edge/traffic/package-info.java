/**
 * The way of a request from its caller to an endpoint and back.
 */
package org.ragwortpitch.edge.traffic;
