/**
 * Usage of finished answers, gathered in windows that are frozen before they are reported.
 */
package org.ragwortpitch.usage;
