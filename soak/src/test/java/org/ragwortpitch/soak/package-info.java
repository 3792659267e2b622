/**
 * Daemons in processes of their own, with faults from outside that come at random, in series and at once.
 */
package org.ragwortpitch.soak;
