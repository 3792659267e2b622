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
 * Entry point of the operators' command line.
 */
public final class Main {

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
     * Commands by their one or two leading arguments.
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

    private Main() {}

    /**
     * Runs a command and exits the process with its exit code.
     *
     * @param arguments the flags and positional arguments
     */
    public static void main(String[] arguments) {
        LogFormat.install();
        System.exit(run(arguments, System.getenv(), new Output(System.out, System.err))
                .code());
    }

    /**
     * Parses the flags and runs the command that they name.
     *
     * @param arguments the flags and positional arguments
     * @param variables the environment variables
     * @param output    receives results and progress
     * @return the exit code of the process
     */
    static ExitCode run(String[] arguments, Map<String, String> variables, Output output) {
        ClientSettings settings = new ClientSettings();
        try {
            SettingsReader.read(List.of(settings), arguments, variables);
        } catch (InvalidSettingException exception) {
            output.printProgress(exception.getMessage());
            return ExitCode.USAGE;
        }
        Command command = COMMANDS.getOrDefault(
                settings.argument(0) + " " + settings.argument(1), COMMANDS.get(settings.argument(0)));
        if (settings.isHelp() || command == null) {
            output.progress().print(USAGE + SettingsReader.help(List.of(new ClientSettings())));
            return settings.isHelp() ? ExitCode.OK : ExitCode.USAGE;
        }
        return run(command, settings, output);
    }

    private static ExitCode run(Command command, ClientSettings settings, Output output) {
        ActorSystem system = ActorSystem.create("client", ConfigFactory.load("ragwortpitch-client"));
        try {
            command.run(settings, new DaemonClient(system, settings.daemon(), settings.token()), output);
            return ExitCode.OK;
        } catch (CommandException exception) {
            output.printProgress(exception.getMessage());
            return exception.exitCode();
        } finally {
            system.terminate();
        }
    }
}
