/**
 * Typed refusals, for requests that get no regular response, and whether a refused request ran.
 */
package org.ragwortpitch.refusal;
