import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes HTTP/1.1 messages on blocking streams. */
final class Http {

    private Http() {}

    /** A message: its first line, its headers with names in lower case, and its body. */
    record Message(String line, Map<String, String> headers, byte[] body) {

        String word(int index) {
            String[] words = line.split(" ", 3);
            return index < words.length ? words[index] : "";
        }

        int status() {
            return Integer.parseInt(word(1));
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a message with its body; returns null at the end of the stream. */
    static Message read(InputStream in) throws IOException {
        Message head = readHead(in);
        return head == null ? null : new Message(head.line(), head.headers(), readBody(in, head));
    }

    /** Reads the head of a message; returns null at the end of the stream. */
    static Message readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        return new Message(line, headers, new byte[0]);
    }

    private static byte[] readBody(InputStream in, Message head) throws IOException {
        if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
                body.write(chunk);
            }
            return body.toByteArray();
        }
        return readExactly(in, Integer.parseInt(head.headers().getOrDefault("content-length", "0")));
    }

    /** Reads one chunk of a chunked body; an empty one is the last. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) {
            throw new EOFException("a chunked body ends early");
        }
        byte[] chunk = readExactly(in, Integer.parseInt(size.trim(), 16));
        readLine(in);
        return chunk;
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("a body ends early");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    /** Writes a message with a stated length. */
    static void write(OutputStream out, String line, Map<String, String> headers, byte[] body) throws IOException {
        out.write(head(line, headers, "Content-Length: " + body.length));
        out.write(body);
        out.flush();
    }

    /** Encodes a head that ends with one more header. */
    static byte[] head(String line, Map<String, String> headers, String last) {
        StringBuilder head = new StringBuilder(line).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        return head.append(last).append("\r\n\r\n").toString().getBytes(StandardCharsets.UTF_8);
    }
}
