/**
 * Detection of poison requests, which crash the endpoints that run them. Requests are identified by a fingerprint of
 * their content and judged by the number of crashes that they were in flight at.
 */
package org.ragwortpitch.poison;
