/**
 * What callers see: model calls, plain services and the addresses of daemons.
 */
package org.ragwortpitch.gateway;
