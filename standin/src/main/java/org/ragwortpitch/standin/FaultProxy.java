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
 * A TCP proxy on loopback that can cut, silence and delay what it carries.
 */
public final class FaultProxy implements AutoCloseable {

    /**
     * The most bytes carried at once.
     */
    private static final int CHUNK_BYTES = 16 * 1024;

    /**
     * Where callers connect.
     */
    private final ServerSocket listening;

    /**
     * Supplies the port behind the proxy.
     */
    private final Supplier<Integer> target;

    /**
     * The open sockets of both sides.
     */
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    /**
     * What the link does wrong now.
     */
    private volatile LinkFault fault = LinkFault.NONE;

    /**
     * By how much the link delays each chunk, in milliseconds.
     */
    private volatile long delayMillis;

    /**
     * Starts a proxy.
     *
     * @param target supplies the port behind the proxy, asked at each connection
     * @throws IOException if no port can be bound
     */
    public FaultProxy(Supplier<Integer> target) throws IOException {
        this.target = target;
        this.listening = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    /**
     * Changes what the link does wrong.
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
     * Changes by how much the link delays.
     *
     * @param millis the delay of each chunk, in milliseconds
     */
    public void delay(long millis) {
        delayMillis = millis;
    }

    /**
     * Tells where callers connect.
     *
     * @return the port
     */
    public int port() {
        return listening.getLocalPort();
    }

    /**
     * Takes connections until the proxy is closed.
     */
    private void accept() {
        while (!listening.isClosed()) {
            try {
                carry(listening.accept());
            } catch (IOException exception) {
                // The proxy is closed, or nothing listens behind it; the caller sees its connection closed.
            }
        }
    }

    /**
     * Carries one connection.
     *
     * @param caller the caller's side
     * @throws IOException if nothing listens behind the proxy
     */
    private void carry(Socket caller) throws IOException {
        open.add(caller);
        if (fault == LinkFault.CUT) {
            closeQuietly(caller);
            return;
        }
        try {
            Socket served = new Socket(InetAddress.getLoopbackAddress(), target.get());
            open.add(served);
            caller.setTcpNoDelay(true);
            served.setTcpNoDelay(true);
            start(() -> pump(caller, served, true));
            start(() -> pump(served, caller, false));
        } catch (IOException exception) {
            closeQuietly(caller);
            throw exception;
        }
    }

    /**
     * Carries one direction until either side closes.
     *
     * @param from    where bytes come from
     * @param to      where they go
     * @param forward whether they go away from the caller
     */
    private void pump(Socket from, Socket to, boolean forward) {
        byte[] chunk = new byte[CHUNK_BYTES];
        try (InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream()) {
            int count = in.read(chunk);
            while (count >= 0) {
                if (delayMillis > 0) {
                    TimeUnit.MILLISECONDS.sleep(delayMillis);
                }
                boolean lost = fault == LinkFault.SILENT || (fault == LinkFault.ANSWERS_LOST && !forward);
                if (!lost) {
                    out.write(chunk, 0, count);
                    out.flush();
                }
                count = in.read(chunk);
            }
        } catch (IOException exception) {
            // Either side closed; so does the other, below.
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } finally {
            closeQuietly(from);
            closeQuietly(to);
        }
    }

    /**
     * Closes a socket.
     *
     * @param socket the socket
     */
    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException exception) {
            // It is of no use any more either way.
        }
    }

    /**
     * Starts a thread.
     *
     * @param task what it does
     */
    private static void start(Runnable task) {
        Thread thread = new Thread(task, "fault-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listening.close();
        open.forEach(FaultProxy::closeQuietly);
    }
}
