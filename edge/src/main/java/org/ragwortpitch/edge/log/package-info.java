/**
 * Logs that never block.
 */
package org.ragwortpitch.edge.log;
