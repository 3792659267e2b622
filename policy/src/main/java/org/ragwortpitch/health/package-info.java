/**
 * Passive health checks, which eject failing endpoints for a while.
 */
package org.ragwortpitch.health;
