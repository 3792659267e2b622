/**
 * The daemon as a library.
 */
package org.ragwortpitch.server;
