/**
 * Control state of a daemon: one thread reads the log, applies it, writes to it and publishes snapshots.
 */
package org.ragwortpitch.control;
