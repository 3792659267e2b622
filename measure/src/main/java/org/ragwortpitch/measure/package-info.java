/**
 * Measurements of the decisions, over small models with injected time and seeds, and of running processes. Each command
 * prints a table as comma-separated values.
 */
package org.ragwortpitch.measure;
