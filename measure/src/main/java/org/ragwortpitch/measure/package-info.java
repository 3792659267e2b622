/**
 * Measurements: simulations of scheduling decisions with simulated time and fixed seeds, and measurements of running
 * processes. Each command prints a table.
 */
package org.ragwortpitch.measure;
