/**
 * The records that daemons write to the platform's log, and the fold that turns the log into control state.
 *
 * <p>The log's order is the only arbiter: a record that is stale under the fold is void for every reader alike.
 */
package org.ragwortpitch.journal;
