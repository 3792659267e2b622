/**
 * The regions that may serve a request, as its route and its account say.
 */
package org.ragwortpitch.homes;
