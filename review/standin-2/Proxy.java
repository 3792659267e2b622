import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashSet;
import java.util.Set;

/**
 * A link that a case can cut: with resets, or silently. A silent cut holds up what is sent on open channels until the
 * link has healed and the sender's next retransmission is due, as TCP does it: pauses from 0.2 s on that double. The
 * receiver gets it although the sender has closed the channel meanwhile, unless the sender resets it. Channels that
 * are opened during the cut never carry anything.
 */
final class Proxy implements AutoCloseable {

    private static final long FIRST_RETRANSMISSION_MILLIS = 200;

    private final int target;
    private final int port;
    private final Set<Socket> sockets = new HashSet<>();
    private ServerSocket server;
    private boolean silent;

    /** Creates an open link to a port of this machine. */
    Proxy(int target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        port = server.getLocalPort();
        listen(server);
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    int port() {
        return port;
    }

    private void listen(ServerSocket listening) {
        Threads.start(() -> Threads.accept(listening, this::serve));
    }

    private void serve(Socket caller) throws IOException {
        if (isSilent()) {
            caller.getInputStream().transferTo(OutputStream.nullOutputStream());
            return;
        }
        try (Socket callee = new Socket("127.0.0.1", target)) {
            caller.setTcpNoDelay(true);
            callee.setTcpNoDelay(true);
            synchronized (this) {
                sockets.add(caller);
                sockets.add(callee);
            }
            Thread back = Threads.start(() -> copy(callee, caller));
            copy(caller, callee);
            back.join();
        } catch (InterruptedException exception) {
            throw new IOException(exception);
        } finally {
            synchronized (this) {
                sockets.remove(caller);
            }
        }
    }

    private void copy(Socket from, Socket to) throws IOException {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[16_384];
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                awaitDelivery(Threads.millis());
                out.write(buffer, 0, read);
            }
            awaitDelivery(Threads.millis());
        } finally {
            to.close();
            from.close();
        }
    }

    private void awaitDelivery(long sentMillis) throws IOException {
        if (!isSilent()) {
            return;
        }
        awaitHeal();
        long next = sentMillis + FIRST_RETRANSMISSION_MILLIS;
        for (long pause = FIRST_RETRANSMISSION_MILLIS; next < Threads.millis(); pause *= 2) {
            next += 2 * pause;
        }
        Threads.sleep(Math.max(0, next - Threads.millis()));
    }

    private synchronized boolean isSilent() {
        return silent;
    }

    private synchronized void awaitHeal() throws IOException {
        try {
            while (silent) {
                wait();
            }
        } catch (InterruptedException exception) {
            throw new IOException(exception);
        }
    }

    /** Cuts the link silently. */
    synchronized void cutSilently() {
        silent = true;
    }

    /** Resets the open channels, and refuses new ones until the link heals. */
    synchronized void cutWithResets() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            if (!socket.isClosed()) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }
        sockets.clear();
    }

    synchronized void heal() throws IOException {
        silent = false;
        notifyAll();
        if (server.isClosed()) {
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress("127.0.0.1", port), 512);
            listen(server);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        silent = false;
        notifyAll();
        server.close();
    }
}
