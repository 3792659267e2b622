/**
 * Limits shared by all daemons: the spending of accounts and the retry budget.
 */
package org.ragwortpitch.budget;
