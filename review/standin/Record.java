import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line for each thing sent, answered, run or done, with milliseconds since the start. */
final class Record {

    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String text) {
        out.println((System.nanoTime() - startNanos) / 1_000_000 + " " + text);
        out.flush();
    }

    synchronized void say(String text) {
        line(text);
        System.out.println(text);
    }
}
