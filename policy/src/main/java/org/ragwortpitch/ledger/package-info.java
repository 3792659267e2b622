/**
 * Usage by window: the counts that daemons gossip and record, and the single set of figures that is reported.
 */
package org.ragwortpitch.ledger;
