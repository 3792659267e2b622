/**
 * Operations that may run at most once, such as signatures, deposits, bookings and donations.
 */
package org.ragwortpitch.operation;
