/**
 * Value types for identifiers.
 */
package org.ragwortpitch.identity;
