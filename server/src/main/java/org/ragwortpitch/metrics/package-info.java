/**
 * The metrics of a daemon, exposed in the Prometheus text format.
 */
package org.ragwortpitch.metrics;
