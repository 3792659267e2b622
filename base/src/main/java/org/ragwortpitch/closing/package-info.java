/**
 * Orderly release of a process's resources.
 */
package org.ragwortpitch.closing;
