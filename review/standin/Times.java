/** Waiting, without checked exceptions. */
final class Times {

    private Times() {}

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
