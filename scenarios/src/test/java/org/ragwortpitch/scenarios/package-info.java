/**
 * Cucumber scenarios with real daemon processes. Fault proxies stand on the links between daemons and on the links to
 * the platform.
 */
package org.ragwortpitch.scenarios;
