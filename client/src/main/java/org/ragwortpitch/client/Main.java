package org.ragwortpitch.client;

import com.typesafe.config.ConfigFactory;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.pekko.actor.ActorSystem;
import org.ragwortpitch.logging.LogFormat;
import org.ragwortpitch.settings.InvalidSettingException;
import org.ragwortpitch.settings.SettingsReader;

/**
 * Runs a command.
 */
public final class Main {

    /**
     * How the commands are used.
     */
    private static final String USAGE =
            """
            ragwortpitch [flags] COMMAND
              rules check FILE            check a rules file, without a daemon
              rules diff FILE             show how it differs from the rules in force
              rules apply FILE [--wait]   apply it, if nobody changed the rules since
              rules show                  show the rules in force with their version
              account create ACCOUNT NAME=VALUE... --asked-by WHO
              key create ACCOUNT --asked-by WHO   print a new key, once
              key withdraw KEY [--wait]   withdraw a key by the name of its rule
              status                      instances, duties, endpoints, accounts
              endpoints                   the endpoints alone
              usage [ACCOUNT]             open, closed and reported windows
            exit codes: 0 done, 1 refused, 2 wrong use, 3 rules changed since, 4 no answer, 5 not in force in time
            flags:
            """;

    /**
     * The commands by their words.
     */
    private static final Map<String, Command> COMMANDS = new TreeMap<>(Map.of(
            "rules check", RulesCommands::check,
            "rules diff", RulesCommands::diff,
            "rules apply", RulesCommands::apply,
            "rules show", RulesCommands::show,
            "account create", AccountCommands::create,
            "key create", AccountCommands::createKey,
            "key withdraw", AccountCommands::withdrawKey,
            "status", StatusCommands::status,
            "endpoints", StatusCommands::endpoints,
            "usage", StatusCommands::usage));

    /**
     * Not to be made.
     */
    private Main() {}

    /**
     * Runs a command and ends the process with its exit code.
     *
     * @param arguments the flags and words
     */
    public static void main(String[] arguments) {
        LogFormat.install();
        System.exit(run(arguments, System.getenv(), new Output(System.out, System.err))
                .code());
    }

    /**
     * Runs a command.
     *
     * @param arguments the flags and words
     * @param variables the environment variables
     * @param output    takes what is printed
     * @return the exit code
     */
    static ExitCode run(String[] arguments, Map<String, String> variables, Output output) {
        ClientSettings settings = new ClientSettings();
        try {
            SettingsReader.read(List.of(settings), arguments, variables);
        } catch (InvalidSettingException exception) {
            output.note(exception.getMessage());
            return ExitCode.USAGE;
        }
        Command command =
                COMMANDS.getOrDefault(settings.word(0) + " " + settings.word(1), COMMANDS.get(settings.word(0)));
        if (settings.isHelp() || command == null) {
            output.progress().print(USAGE + SettingsReader.help(List.of(new ClientSettings())));
            return settings.isHelp() ? ExitCode.OK : ExitCode.USAGE;
        }
        return run(command, settings, output);
    }

    /**
     * Runs a command with connections of its own.
     *
     * @param command  the command
     * @param settings its flags and words
     * @param output   takes what is printed
     * @return the exit code
     */
    private static ExitCode run(Command command, ClientSettings settings, Output output) {
        ActorSystem system = ActorSystem.create("client", ConfigFactory.load("ragwortpitch-client"));
        try {
            command.run(settings, new DaemonCalls(system, settings.daemon(), settings.token()), output);
            return ExitCode.OK;
        } catch (CommandException exception) {
            output.note(exception.getMessage());
            return exception.exitCode();
        } finally {
            system.terminate();
        }
    }
}
