/**
 * How many endpoints are ordered, where, and of which kind.
 */
package org.ragwortpitch.scaling;
