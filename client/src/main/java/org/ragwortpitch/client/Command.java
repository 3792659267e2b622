package org.ragwortpitch.client;

/**
 * A command.
 */
@FunctionalInterface
interface Command {

    /**
     * Carries the command out.
     *
     * @param settings its flags and words
     * @param daemon   asks the daemon
     * @param output   takes what is printed
     * @throws CommandException if it does not succeed
     */
    void run(ClientSettings settings, DaemonCalls daemon, Output output) throws CommandException;
}
