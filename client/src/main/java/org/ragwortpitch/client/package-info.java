/**
 * The operators' command line.
 */
package org.ragwortpitch.client;
