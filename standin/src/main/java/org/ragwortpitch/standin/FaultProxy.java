package org.ragwortpitch.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * A TCP proxy on the loopback interface that can cut, drop and delay the traffic of a link. Each direction of a
 * connection has a thread of its own.
 */
public final class FaultProxy implements AutoCloseable {

    private static final int CHUNK_BYTES = 16 * 1024;

    private final ServerSocket serverSocket;

    private final Supplier<Integer> target;

    /**
     * The open sockets of both sides of all connections.
     */
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    private volatile LinkFault fault = LinkFault.NONE;

    /**
     * Delay of each chunk of up to {@link #CHUNK_BYTES}, in milliseconds.
     */
    private volatile long delayMillis;

    /**
     * Starts a proxy on a free port.
     *
     * @param target supplies the port to forward to, read anew for each connection since a restarted target may have
     * another port
     * @throws IOException if no port can be bound
     */
    public FaultProxy(Supplier<Integer> target) throws IOException {
        this.target = target;
        this.serverSocket = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
        start(this::acceptConnections);
    }

    /**
     * Sets the fault of the link. {@link LinkFault#CUT} also closes the open connections.
     *
     * @param next the fault from now on
     */
    public void fault(LinkFault next) {
        fault = next;
        if (next == LinkFault.CUT) {
            open.forEach(FaultProxy::closeQuietly);
        }
    }

    /**
     * Sets the delay of the link.
     *
     * @param millis the delay of each chunk, in milliseconds
     */
    public void delay(long millis) {
        delayMillis = millis;
    }

    /**
     * Returns the port that the proxy listens on.
     */
    public int port() {
        return serverSocket.getLocalPort();
    }

    /**
     * Accepts connections until the proxy is closed.
     */
    private void acceptConnections() {
        while (!serverSocket.isClosed()) {
            try {
                forward(serverSocket.accept());
            } catch (IOException exception) {
                // The proxy was closed, or the target refused the connection; the connecting side sees a closed
                // connection.
            }
        }
    }

    /**
     * Opens the connection to the target and starts a thread for each direction.
     */
    private void forward(Socket caller) throws IOException {
        open.add(caller);
        if (fault == LinkFault.CUT) {
            closeQuietly(caller);
            return;
        }
        try {
            Socket upstream = new Socket(InetAddress.getLoopbackAddress(), target.get());
            open.add(upstream);
            caller.setTcpNoDelay(true);
            upstream.setTcpNoDelay(true);
            start(() -> pump(caller, upstream, true));
            start(() -> pump(upstream, caller, false));
        } catch (IOException exception) {
            closeQuietly(caller);
            throw exception;
        }
    }

    /**
     * Copies one direction until either side closes.
     *
     * @param towardTarget whether the bytes go from the connecting side to the target
     */
    private void pump(Socket from, Socket to, boolean towardTarget) {
        byte[] chunk = new byte[CHUNK_BYTES];
        try (InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream()) {
            int count = in.read(chunk);
            while (count >= 0) {
                if (delayMillis > 0) {
                    TimeUnit.MILLISECONDS.sleep(delayMillis);
                }
                boolean lost = fault == LinkFault.SILENT || (fault == LinkFault.ANSWERS_LOST && !towardTarget);
                if (!lost) {
                    out.write(chunk, 0, count);
                    out.flush();
                }
                count = in.read(chunk);
            }
        } catch (IOException exception) {
            // One side was closed; the other one is closed below.
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } finally {
            closeQuietly(from);
            closeQuietly(to);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException exception) {
            // The socket is discarded in any case.
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "fault-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
        open.forEach(FaultProxy::closeQuietly);
    }
}
