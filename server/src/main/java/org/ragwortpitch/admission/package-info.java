/**
 * Admits requests under their client account's limits, here or by a loan of the account's home.
 */
package org.ragwortpitch.admission;
