/**
 * Planning of the orders that bring the fleet into its configured state.
 */
package org.ragwortpitch.fleet;
