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
            "quota", QuotaCase::run);

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
    public static void main(String[] arguments) throws Exception {
        Threads.limit(LIMIT_MILLIS, COULD_NOT_RUN);
        Path directory = Files.createTempDirectory("case");
        int exit;
        try (Record record = new Record(Path.of(arguments[2]))) {
            try {
                boolean trouble = Boolean.parseBoolean(arguments[3]);
                exit = CASES.get(arguments[0]).run(Path.of(arguments[1]), directory, record, trouble);
            } catch (Exception exception) {
                record.add("the case could not run: " + exception);
                exit = COULD_NOT_RUN;
            }
            record.add("exit code " + exit);
        }
        delete(directory);
        System.exit(exit);
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
