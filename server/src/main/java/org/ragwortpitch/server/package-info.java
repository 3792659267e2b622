/**
 * Assembles a daemon from its parts: settings, start, publication of snapshots, and graceful shutdown.
 */
package org.ragwortpitch.server;
