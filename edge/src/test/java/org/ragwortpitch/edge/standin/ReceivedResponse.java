package org.ragwortpitch.edge.standin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.edge.Edge;

/**
 * What a caller has read on a connection of its own until its response was complete or the connection ended.
 *
 * @param body     without its framing
 * @param complete whether the response looks complete
 * @param excess   bytes after a complete response
 */
public record ReceivedResponse(int status, String head, String body, boolean complete, String excess) {

    private static final int TIMEOUT_MILLIS = 10_000;

    private static final Pattern LENGTH = Pattern.compile("\r\ncontent-length: *(\\d+)");

    /**
     * Sends an attempt of a generation that shares no prefix block with others, and reads its response to the end of
     * the connection.
     *
     * @param headers further headers
     */
    public static ReceivedResponse to(Edge edge, String path, String attempt, Map<String, String> headers)
            throws IOException {
        try (Socket socket = new Socket("127.0.0.1", edge.frontAddress().getPort())) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            String body = "prompt " + headers.getOrDefault(Headers.RESUMED_ATTEMPT, attempt);
            StringBuilder request = new StringBuilder("POST " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n");
            request.append(Headers.ATTEMPT + ": " + attempt + "\r\n" + Headers.DEADLINE + ": " + TIMEOUT_MILLIS + "\r\n"
                    + Headers.TOKENS + ": 100,10\r\n" + Headers.PREFIX_BLOCKS + ": "
                    + attempt.replace("-", "").substring(0, 15) + ":100\r\nConnection: close\r\nContent-Length: "
                    + body.length() + "\r\n");
            headers.forEach((name, value) -> request.append(name + ": " + value + "\r\n"));
            socket.getOutputStream().write((request + "\r\n" + body).getBytes(StandardCharsets.ISO_8859_1));
            return parse(readAll(socket.getInputStream()));
        }
    }

    private static String readAll(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            for (int next = in.read(); next >= 0; next = in.read()) {
                bytes.write(next);
            }
        } catch (SocketException exception) {
            // A reset ends a response as a close does: what arrived before it counts.
            return bytes.toString(StandardCharsets.ISO_8859_1);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    private static ReceivedResponse parse(String bytes) {
        int end = bytes.indexOf("\r\n\r\n");
        if (end < 0) {
            return new ReceivedResponse(0, bytes, "", false, "");
        }
        String head = bytes.substring(0, end);
        String rest = bytes.substring(end + 4);
        int status = Integer.parseInt(head.substring(9, 12));
        String lower = head.toLowerCase(Locale.ROOT);
        if (lower.contains("transfer-encoding: chunked")) {
            return dechunk(status, head, rest);
        }
        Matcher length = LENGTH.matcher(lower);
        int stated = length.find() ? Integer.parseInt(length.group(1)) : rest.length();
        int present = Math.min(stated, rest.length());
        return new ReceivedResponse(
                status, head, rest.substring(0, present), present == stated, rest.substring(present));
    }

    private static ReceivedResponse dechunk(int status, String head, String chunks) {
        StringBuilder body = new StringBuilder();
        int at = 0;
        for (Optional<Integer> line = lineEnd(chunks, at); line.isPresent(); line = lineEnd(chunks, at)) {
            int size = Integer.parseInt(chunks.substring(at, line.get()).trim(), 16);
            int start = line.get() + 2;
            if (size == 0) {
                boolean complete = chunks.startsWith("\r\n", start);
                String excess = complete ? chunks.substring(start + 2) : "";
                return new ReceivedResponse(status, head, body.toString(), complete, excess);
            }
            body.append(chunks, Math.min(start, chunks.length()), Math.min(start + size, chunks.length()));
            at = start + size + 2;
        }
        return new ReceivedResponse(status, head, body.toString(), false, "");
    }

    private static Optional<Integer> lineEnd(String text, int from) {
        int end = from < text.length() ? text.indexOf("\r\n", from) : -1;
        return end < 0 ? Optional.empty() : Optional.of(end);
    }
}
