import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;

/** A client's channel to a daemon. */
final class Client implements AutoCloseable {

    private final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    Client(String ip, int port, int timeoutMillis) throws IOException {
        socket.connect(new InetSocketAddress(ip, port), 1_000);
        socket.setSoTimeout(timeoutMillis);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    static Map<String, String> headers(String host, String attempt, long deadlineMillis, String key) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", host);
        headers.put("X-Ragwortpitch-Attempt-Id", attempt);
        headers.put("X-Ragwortpitch-Deadline-Ms", Long.toString(deadlineMillis));
        headers.put("Authorization", "Bearer " + key);
        return headers;
    }

    /** Sends a request and reads its answer; null if the channel ends without one. */
    Http.Message call(String method, String path, Map<String, String> headers, byte[] body) throws IOException {
        Http.write(out, method + " " + path + " HTTP/1.1", headers, body);
        return Http.read(in);
    }

    /** Returns the status of a call on a channel of its own; 0 if there is no answer. */
    static int status(String ip, int port, String path) {
        try (Client client = new Client(ip, port, 1_000)) {
            Http.Message answer = client.call("GET", path, Map.of("Host", ip), new byte[0]);
            return answer == null ? 0 : answer.status();
        } catch (IOException exception) {
            return 0;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
