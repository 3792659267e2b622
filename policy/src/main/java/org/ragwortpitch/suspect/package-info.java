/**
 * Requests that crash the endpoints that run them.
 */
package org.ragwortpitch.suspect;
