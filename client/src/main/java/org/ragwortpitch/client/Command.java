package org.ragwortpitch.client;

/**
 * A command of the command line.
 */
@FunctionalInterface
interface Command {

    /**
     * Runs the command.
     *
     * @param settings the command's flags and arguments
     * @param daemon   client of the daemon given by {@code --daemon}
     * @param output   receives results and progress
     * @throws CommandException if the command fails
     */
    void run(ClientSettings settings, DaemonClient daemon, Output output) throws CommandException;
}
