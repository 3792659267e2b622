/**
 * Entry point of the daemon process.
 */
package org.ragwortpitch.daemon;
