/**
 * Metrics by the Prometheus client.
 */
package org.ragwortpitch.metrics;
