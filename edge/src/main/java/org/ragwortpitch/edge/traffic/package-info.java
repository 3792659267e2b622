/**
 * Proxies requests of callers to engines and services, and exchanges gossip on load and usage with other daemons.
 */
package org.ragwortpitch.edge.traffic;
