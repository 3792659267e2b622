/**
 * What daemons ask of each other: how far they are, loans of allowance, records, and to hold usage.
 */
package org.ragwortpitch.peering;
