package org.ragwortpitch.client;

/**
 * Thrown when a command fails; carries the exit code of the process and a message for the operator.
 */
public final class CommandException extends Exception {

    private final ExitCode exitCode;

    /**
     * Creates an exception.
     *
     * @param exitCode the exit code of the process
     * @param message  what is wrong, and how to mend it
     */
    public CommandException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    /**
     * Returns the exit code of the process.
     */
    public ExitCode exitCode() {
        return exitCode;
    }
}
