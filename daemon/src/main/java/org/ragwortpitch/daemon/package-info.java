/**
 * The daemon's main.
 */
package org.ragwortpitch.daemon;
