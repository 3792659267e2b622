package org.ragwortpitch.client;

/**
 * Exit codes of the command line.
 */
public enum ExitCode {
    /**
     * The command succeeded.
     */
    OK(0),
    /**
     * The daemon refused or failed.
     */
    FAILED(1),
    /**
     * The command or its arguments are wrong; no daemon was called.
     */
    USAGE(2),
    /**
     * The rules have changed since they were read; nothing was applied.
     */
    CONFLICT(3),
    /**
     * The daemon did not answer; the command may have taken effect.
     */
    NO_ANSWER(4),
    /**
     * The rules were accepted, but not all daemons had them in force in time.
     */
    NOT_IN_FORCE(5);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /**
     * Returns the number that the process exits with.
     */
    public int code() {
        return code;
    }
}
