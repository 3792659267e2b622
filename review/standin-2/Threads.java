import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;

/** Threads that end with the process. */
final class Threads {

    /** What is done with an accepted connection, which is closed afterwards. */
    interface Connection {
        void serve(Socket socket) throws IOException;
    }

    /** A task that may fail. */
    interface Task {
        void run() throws Exception;
    }

    private Threads() {}

    static Thread start(Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (Exception exception) {
                // A connection that broke, or a socket that was closed at the end.
            }
        }, "standin", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void accept(ServerSocket server, Connection connection) throws IOException {
        while (true) {
            Socket socket = server.accept();
            start(() -> {
                try (socket) {
                    connection.serve(socket);
                }
            });
        }
    }

    /** Ends the process once it takes too long. */
    static void limit(long millis, int exit) {
        start(() -> {
            sleep(millis);
            System.exit(exit);
        });
    }

    static long millis() {
        return System.nanoTime() / 1_000_000;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
