package org.ragwortpitch.client;

/**
 * A command that did not succeed.
 */
public final class CommandException extends Exception {

    /**
     * The exit code.
     */
    private final ExitCode exitCode;

    /**
     * Makes the exception.
     *
     * @param exitCode the exit code
     * @param message  what is wrong, and the remedy
     */
    public CommandException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    /**
     * Tells the exit code.
     *
     * @return the exit code
     */
    public ExitCode exitCode() {
        return exitCode;
    }
}
