/**
 * Decides how much of a failure domain's demand on a pool leaves for other domains, and which requests do.
 */
package org.ragwortpitch.overflow;
