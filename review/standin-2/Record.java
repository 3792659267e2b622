import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;

/** The record of a case, which is also shown while it runs. */
final class Record implements AutoCloseable {

    private final PrintStream file;
    private final long startMillis = Threads.millis();

    Record(Path path) throws IOException {
        file = new PrintStream(path.toFile());
    }

    synchronized void add(String line) {
        String timed = String.format("%7.3f s  %s", (Threads.millis() - startMillis) / 1_000.0, line);
        file.println(timed);
        file.flush();
        System.out.println(timed);
    }

    @Override
    public void close() {
        file.close();
    }
}
