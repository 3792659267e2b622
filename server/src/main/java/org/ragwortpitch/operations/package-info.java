/**
 * The operators' HTTP interface of a daemon: rules, status, usage, metrics and health.
 */
package org.ragwortpitch.operations;
