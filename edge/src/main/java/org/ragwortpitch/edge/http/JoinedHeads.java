package org.ragwortpitch.edge.http;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Tells heads that consist of the start of one response and the head of another, which the peer wrote after it had
 * stopped within the first. The decoder takes the status line of the second for the rest of a line of the first.
 */
final class JoinedHeads {

    private static final String VERSION = "HTTP/1.";

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.\\d [1-9]\\d\\d(?: |$)");

    private JoinedHeads() {}

    /**
     * Returns whether the status line of another response stands within the head.
     */
    static boolean isJoined(HttpResponse head) {
        if (holdsStatusLine(head.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> header : head.headers()) {
            if (holdsStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean holdsStatusLine(String text) {
        return text.contains(VERSION) && STATUS_LINE.matcher(text).find();
    }
}
