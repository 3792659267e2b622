/**
 * Connections of callers.
 */
package org.ragwortpitch.edge.front;
