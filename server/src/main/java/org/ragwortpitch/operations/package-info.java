/**
 * What operators see of a daemon: rules, status, usage, metrics and health.
 */
package org.ragwortpitch.operations;
