/**
 * Structured logging in lines of key=value pairs.
 */
package org.ragwortpitch.logging;
