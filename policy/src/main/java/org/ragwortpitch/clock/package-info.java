/**
 * What time it is where the clocks of instances differ.
 */
package org.ragwortpitch.clock;
