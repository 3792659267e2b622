/**
 * The control records that daemons append to the platform's log, and their reduction to control state.
 *
 * <p>Conflicts are decided by the order of the log alone: a stale record has no effect on any daemon.
 */
package org.ragwortpitch.controllog;
