import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.UUID;

/** A client that sends one request on a channel of its own and reads the answer to its end. */
final class Client {

    /** What became of a request: a status, or 0 if the channel ended without a complete answer. */
    record Answer(String attempt, int status, String text) {}

    private Client() {}

    static int get(String ip, int port, String path) {
        return send(ip, port, "", "GET " + path + " HTTP/1.1\r\nHost: " + ip + "\r\nConnection: close\r\n\r\n", new byte
                        [0])
                .status();
    }

    /** Asks the daemons in turn which addresses to use; empty if none answers. */
    static java.util.List<String> resolve(Fleet fleet) {
        java.util.List<Fleet.Daemon> daemons = new java.util.ArrayList<>(fleet.daemons());
        java.util.Collections.shuffle(daemons);
        for (Fleet.Daemon daemon : daemons) {
            Answer answer = send(
                    daemon.ip,
                    8220,
                    "",
                    "GET /resolve?Name=site.example&Region=r&Zone=a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
                    new byte[0]);
            if (answer.status() == 200) {
                java.util.List<String> ips = new java.util.ArrayList<>();
                for (Object address : (java.util.List<?>) Json.object(answer.text()).get("Addresses")) {
                    ips.add(String.valueOf(address).replaceAll(":.*", ""));
                }
                return ips;
            }
        }
        return java.util.List.of();
    }

    /** Sends a request of a plain service. */
    static Answer plain(Record record, String ip, String method, String path, String key, byte[] body) {
        return request(record, ip, method, path, key, body, "X-Ragwortpitch-Deadline-Ms: 1000\r\n");
    }

    /** Sends a generation. */
    static Answer generation(Record record, String ip, String path, String key) {
        return request(
                record,
                ip,
                "POST",
                path,
                key,
                "prompt".getBytes(StandardCharsets.UTF_8),
                "X-Ragwortpitch-Deadline-Ms: 6000\r\nX-Ragwortpitch-Model: m\r\n"
                        + "X-Ragwortpitch-Token-Usage: 1460,5\r\nX-Ragwortpitch-Prompt-Prefix: 5c1e07a2:800,91bd3f06:660\r\n");
    }

    static Answer request(
            Record record, String ip, String method, String path, String key, byte[] body, String headers) {
        String attempt = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
        String head = method + " " + path + " HTTP/1.1\r\nHost: site.example\r\nX-Ragwortpitch-Attempt-Id: " + attempt
                + "\r\n" + headers + "Authorization: Bearer " + key + "\r\nConnection: close\r\nContent-Length: "
                + body.length + "\r\n\r\n";
        record.line("client sends " + attempt + " " + method + " " + path + " to " + ip);
        Answer answer = send(ip, 8221, attempt, head, body);
        record.line("client got " + attempt + " " + (answer.status() == 0 ? "closed channel" : answer.status()) + " "
                + answer.text().replaceAll("\\s+", " "));
        return answer;
    }

    private static Answer send(String ip, int port, String attempt, String head, byte[] body) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            InputStream in = socket.getInputStream();
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            in.transferTo(bytes);
            return parse(attempt, bytes.toString(StandardCharsets.ISO_8859_1));
        } catch (IOException exception) {
            return new Answer(attempt, 0, exception.toString());
        }
    }

    private static Answer parse(String attempt, String text) {
        int end = text.indexOf("\r\n\r\n");
        if (end < 0 || !text.startsWith("HTTP/1.1 ")) {
            return new Answer(attempt, 0, "channel closed after " + text.length() + " bytes");
        }
        int status = Integer.parseInt(text.substring(9, 12));
        String head = text.substring(0, end).toLowerCase(java.util.Locale.ROOT);
        String body = text.substring(end + 4);
        if (head.contains("transfer-encoding: chunked") && !body.endsWith("0\r\n\r\n")) {
            return new Answer(attempt, 0, "stream broken off");
        }
        return new Answer(attempt, status, body.length() > 2_000 ? body.substring(0, 2_000) : body);
    }
}
