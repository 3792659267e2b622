import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A path to a local port, which can be cut: its channels are reset and new ones are refused until it heals. */
final class Proxy {

    private final int target;
    private final int port;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket listening;

    Proxy(int target) throws IOException {
        this.target = target;
        ServerSocket socket = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        port = socket.getLocalPort();
        listen(socket);
    }

    int port() {
        return port;
    }

    void cut() throws IOException {
        listening.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    void heal() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 256);
        listen(socket);
    }

    private void listen(ServerSocket socket) {
        listening = socket;
        start(() -> {
            while (true) {
                Socket in = socket.accept();
                Socket out = new Socket(InetAddress.getLoopbackAddress(), target);
                in.setTcpNoDelay(true);
                out.setTcpNoDelay(true);
                sockets.add(in);
                sockets.add(out);
                start(() -> copy(in, out));
                start(() -> copy(out, in));
            }
        });
    }

    private interface Task {
        void run() throws IOException;
    }

    private static void start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException ended) {
                // The path was cut or one end has closed.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void copy(Socket from, Socket to) {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] bytes = new byte[16_384];
            for (int read = in.read(bytes); read >= 0; read = in.read(bytes)) {
                out.write(bytes, 0, read);
            }
        } catch (IOException ended) {
            // Closes both ends below.
        } finally {
            close(from);
            close(to);
        }
    }

    private void close(Socket socket) {
        sockets.remove(socket);
        try {
            socket.close();
        } catch (IOException closed) {
            // Closed already.
        }
    }
}
