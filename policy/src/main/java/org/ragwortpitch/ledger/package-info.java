/**
 * Usage by window: what each daemon counted, and the one set of figures that is reported.
 */
package org.ragwortpitch.ledger;
