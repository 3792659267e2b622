import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Random;

/** Loopback addresses at which no process listens. */
final class Addresses {

    private static final Random RANDOM = new Random();

    private Addresses() {}

    static String next() throws IOException {
        while (true) {
            String ip = "127." + (16 + RANDOM.nextInt(200)) + "." + RANDOM.nextInt(250) + "." + (2 + RANDOM.nextInt(250));
            try (ServerSocket free = new ServerSocket()) {
                free.bind(new InetSocketAddress(InetAddress.getByName(ip), 8221));
                return ip;
            } catch (IOException exception) {
                // Another process has it.
            }
        }
    }
}
