/**
 * Which endpoints are left alone for a while because of how they answered.
 */
package org.ragwortpitch.health;
