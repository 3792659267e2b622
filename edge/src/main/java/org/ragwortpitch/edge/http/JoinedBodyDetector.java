package org.ragwortpitch.edge.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import org.ragwortpitch.adapter.Headers;

/**
 * Finds the head of another response in the body of a response. A peer that stops within a body and then writes another
 * response on the connection completes the body, by its stated length, with the start of that response. Searches the
 * pieces of one body in order.
 */
final class JoinedBodyDetector {

    private static final byte FIRST = 'H';

    /** Status line and the headers before the attempt id. */
    private static final int MAX_HEAD_BYTES = 1_024;

    private static final String VERSION = "HTTP/1.";

    private static final Pattern HEAD = Pattern.compile(
            "HTTP/1\\.\\d [1-9]\\d\\d[^\r\n]*\r?\n([^\r\n]+\r?\n)*?(" + Headers.ATTEMPT + "|" + Headers.SEAL + "):.*",
            Pattern.CASE_INSENSITIVE | Pattern.DOTALL);

    private final StringBuilder candidate = new StringBuilder();

    /**
     * Forgets the body searched so far.
     */
    void reset() {
        candidate.setLength(0);
    }

    /**
     * Searches the next bytes of the body.
     *
     * @return whether the head of an endpoint's response has begun in the body
     */
    boolean feed(ByteBuf bytes) {
        int at = bytes.readerIndex();
        while (at < bytes.writerIndex()) {
            if (candidate.length() == 0) {
                int found = bytes.indexOf(at, bytes.writerIndex(), FIRST);
                if (found < 0) {
                    return false;
                }
                at = found;
            }
            int taken = Math.min(bytes.writerIndex() - at, MAX_HEAD_BYTES - candidate.length());
            candidate.append(bytes.toString(at, taken, StandardCharsets.ISO_8859_1));
            at += taken;
            if (search()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Searches the bytes that follow the body, without which the head of a response in it may not be whole.
     */
    boolean feedExcess(ByteBuf bytes) {
        return candidate.length() > 0 && feed(bytes);
    }

    /**
     * Looks for a head at each place where one may begin, and keeps the first place where one may still be incomplete.
     */
    private boolean search() {
        int start = candidate.indexOf("H");
        while (start >= 0) {
            String rest = candidate.substring(start);
            if (HEAD.matcher(rest).matches()) {
                return true;
            }
            boolean mayBegin = rest.length() < VERSION.length() ? VERSION.startsWith(rest) : rest.startsWith(VERSION);
            if (mayBegin && rest.length() < MAX_HEAD_BYTES) {
                candidate.delete(0, start);
                return false;
            }
            start = candidate.indexOf("H", start + 1);
        }
        candidate.setLength(0);
        return false;
    }
}
