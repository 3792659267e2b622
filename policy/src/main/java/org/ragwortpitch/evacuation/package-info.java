/**
 * Failure domains that operators have evacuated, so that their endpoints get no requests.
 */
package org.ragwortpitch.evacuation;
