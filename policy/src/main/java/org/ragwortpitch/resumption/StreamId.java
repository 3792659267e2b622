package org.ragwortpitch.resumption;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Identifies a stream by the caller's attempt that brought its first event.
 *
 * @param value a hash of the attempt's id, which may be long
 */
public record StreamId(long value) {

    /**
     * Returns the id of the stream that an attempt begins.
     */
    public static StreamId of(String attemptId) {
        return new StreamId(MurmurHash3.hash128x64(attemptId.getBytes(StandardCharsets.UTF_8))[0]);
    }

    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
