/**
 * Calls between daemons: protobuf frames over TCP, each authenticated with a shared secret.
 */
package org.ragwortpitch.wire;
