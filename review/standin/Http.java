import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** A small HTTP server on a free port of a loopback address. */
final class Http {

    interface Handler {
        void handle(HttpExchange exchange) throws IOException;
    }

    private Http() {}

    static HttpServer serve(String ip, int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(ip, port), 1_024);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", exchange -> {
            try {
                handler.handle(exchange);
            } catch (RuntimeException exception) {
                exception.printStackTrace();
                throw exception;
            } finally {
                exchange.close();
            }
        });
        server.start();
        return server;
    }

    static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> fields = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        for (String field : raw == null ? new String[0] : raw.split("&")) {
            int equals = field.indexOf('=');
            fields.put(
                    field.substring(0, equals),
                    URLDecoder.decode(field.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return fields;
    }

    static void answer(HttpExchange exchange, int status, String type, byte[] body) throws IOException {
        if (type != null) {
            exchange.getResponseHeaders().set("Content-Type", type);
        }
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            exchange.getResponseBody().write(body);
        }
    }

    static void json(HttpExchange exchange, int status, Object body) throws IOException {
        answer(exchange, status, "application/json", Json.write(body).getBytes(StandardCharsets.UTF_8));
    }
}
