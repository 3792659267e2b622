/**
 * What the fleet should look like, and the orders that bring it there.
 */
package org.ragwortpitch.fleet;
