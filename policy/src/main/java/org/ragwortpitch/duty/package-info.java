/**
 * Duties: tasks that only one daemon at a time carries out, on behalf of all daemons.
 */
package org.ragwortpitch.duty;
