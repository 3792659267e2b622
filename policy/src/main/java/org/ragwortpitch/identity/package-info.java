/**
 * Value types for the names that the system hands around.
 */
package org.ragwortpitch.identity;
