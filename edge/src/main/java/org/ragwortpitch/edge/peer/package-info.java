/**
 * Gossip between daemons over UDP.
 */
package org.ragwortpitch.edge.peer;
