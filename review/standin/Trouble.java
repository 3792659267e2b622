/** What all scripts share: whether the disruption is played, and the exit code of a script that fails by itself. */
final class Trouble {

    private static final int COULD_NOT_RUN = 2;

    private Trouble() {}

    /** Returns whether to play the disruption. From now on, an error of this thread ends the script with 2. */
    static boolean begin() {
        Thread.currentThread().setUncaughtExceptionHandler((thread, failure) -> {
            failure.printStackTrace();
            System.exit(COULD_NOT_RUN);
        });
        return !"0".equals(System.getenv("TROUBLE"));
    }
}
