package org.ragwortpitch.resumption;

import org.ragwortpitch.identity.SoftwareVersion;

/**
 * Which software version began a stream.
 *
 * @param stream      the stream
 * @param version     the version of the engine that sent the event
 * @param atMillis    when the event arrived, in milliseconds of the monotonic clock
 * @param untilMillis when the caller stops waiting and no longer takes the stream up, in milliseconds of that clock
 */
public record StreamOrigin(StreamId stream, SoftwareVersion version, long atMillis, long untilMillis) {}
