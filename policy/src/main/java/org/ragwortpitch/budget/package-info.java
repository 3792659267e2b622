/**
 * Budgets that hold over all daemons together: the token buckets of client accounts, which are kept in step by reports
 * of the peers' spending, and the retry budget, whose fixed allowance is split among the daemons.
 */
package org.ragwortpitch.budget;
