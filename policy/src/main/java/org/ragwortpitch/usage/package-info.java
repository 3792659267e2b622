/**
 * Usage of completed responses for billing, aggregated in windows whose figures are frozen before they are reported.
 */
package org.ragwortpitch.usage;
