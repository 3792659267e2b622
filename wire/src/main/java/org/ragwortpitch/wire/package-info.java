/**
 * Calls between daemons: protobuf frames over TCP, each authenticated by a shared secret.
 */
package org.ragwortpitch.wire;
