/**
 * Calls between daemons: applied log offsets, borrowed quota, log records and replicas of usage entries.
 */
package org.ragwortpitch.peering;
