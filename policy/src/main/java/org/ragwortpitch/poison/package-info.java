/**
 * Detection of poison requests, which crash the endpoints that run them.
 */
package org.ragwortpitch.poison;
