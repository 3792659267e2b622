import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Runs one case, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
final class Main {

    private static final long LIMIT_MILLIS = 110_000;

    private static final int COULD_NOT_RUN = 2;

    private static final Map<String, Case> CASES = Map.of(
            "config-regress", ConfigRegressCase::run,
            "late-call", LateCallCase::run,
            "drain", DrainCase::run,
            "header-limit", HeaderLimitCase::run,
            "quota", QuotaCase::run,
            "restored-drain", RestoredDrainCase::run);

    /** A case. */
    interface Case {

        /**
         * Plays the case.
         *
         * @param root      the folder of the repository
         * @param directory for settings and logs of the machines
         * @param trouble   whether the disruption happens
         * @return the exit code
         */
        int run(Path root, Path directory, Record record, boolean trouble) throws Exception;
    }

    private Main() {}

    /** Runs the named case; the other arguments are the repository, the record's path and whether there is trouble. */
    public static void main(String[] arguments) {
        Threads.limit(LIMIT_MILLIS, COULD_NOT_RUN);
        int exit;
        try {
            exit = play(arguments[0], Path.of(arguments[1]), Path.of(arguments[2]), Boolean.parseBoolean(arguments[3]));
        } catch (Throwable failure) {
            System.out.println("the case could not run: " + failure);
            exit = COULD_NOT_RUN;
        }
        System.exit(exit);
    }

    private static int play(String name, Path root, Path file, boolean trouble) throws Exception {
        Path directory = Files.createTempDirectory("case");
        try (Record record = new Record(file)) {
            int exit = CASES.get(name).run(root, directory, record, trouble);
            record.add("exit code " + exit);
            return exit;
        } finally {
            delete(directory);
        }
    }

    private static void delete(Path directory) throws Exception {
        try (Stream<Path> files = Files.walk(directory)) {
            List<Path> deepestFirst = files.sorted(Comparator.reverseOrder()).toList();
            for (Path file : deepestFirst) {
                Files.deleteIfExists(file);
            }
        }
    }
}
