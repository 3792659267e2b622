/**
 * Duties: work that one daemon at a time carries out for all.
 */
package org.ragwortpitch.duty;
