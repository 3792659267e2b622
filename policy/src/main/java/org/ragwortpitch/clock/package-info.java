/**
 * A time that the daemons agree on although the clocks of their instances differ.
 */
package org.ragwortpitch.clock;
