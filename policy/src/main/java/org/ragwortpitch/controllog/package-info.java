/**
 * The control records that daemons append to the platform's log, and their reduction to control state.
 *
 * <p>Conflicts are decided by the order of the log alone: a record that is stale has no effect for any reader.
 */
package org.ragwortpitch.controllog;
