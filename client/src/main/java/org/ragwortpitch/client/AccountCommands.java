package org.ragwortpitch.client;

import java.security.SecureRandom;
import java.util.Base64;
import java.util.List;
import org.ragwortpitch.identity.KeyHash;

/**
 * Commands on client accounts and their API keys. Each changes one rule of the rules in force.
 */
final class AccountCommands {

    private static final int KEY_BYTES = 32;

    /**
     * Hexadecimal digits of a key's hash that go into the id of its rule.
     */
    private static final int ID_HASH_DIGITS = 12;

    private AccountCommands() {}

    /**
     * Creates or replaces a client account.
     *
     * @throws CommandException if arguments are missing, the rule is invalid or the daemon does not accept it
     */
    static void create(ClientSettings settings, DaemonClient daemon, Output output) throws CommandException {
        String account = required(settings, 2, "ACCOUNT");
        List<String> attributes = settings.argumentsFrom(3);
        String line = "account " + account + " " + String.join(" ", attributes) + " # " + askedBy(settings);
        RulesCommands.change(settings, daemon, output, "account " + account, line);
    }

    /**
     * Creates an API key and prints it. The key cannot be shown again, since only its hash is stored.
     *
     * @throws CommandException if arguments are missing, the rule is invalid or the daemon does not accept it
     */
    static void createKey(ClientSettings settings, DaemonClient daemon, Output output) throws CommandException {
        String account = required(settings, 2, "ACCOUNT");
        byte[] random = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(random);
        String key = "rp_" + Base64.getUrlEncoder().withoutPadding().encodeToString(random);
        String hash = KeyHash.ofKey(key).hex();
        String id = account + "." + hash.substring(0, ID_HASH_DIGITS);
        String line = "key " + id + " account=" + account + " sha256=" + hash + " # " + askedBy(settings);
        RulesCommands.change(settings, daemon, output, "key " + id, line);
        if (settings.isJson()) {
            output.printJson(new CreatedKey(id, key));
        } else {
            output.print("key " + id + " (shown this once): " + key + "\n");
        }
    }

    /**
     * Withdraws an API key.
     *
     * @throws CommandException if there is no such key or the daemon does not accept the change
     */
    static void withdrawKey(ClientSettings settings, DaemonClient daemon, Output output) throws CommandException {
        RulesCommands.change(settings, daemon, output, "key " + required(settings, 2, "KEY"), "");
    }

    private static String required(ClientSettings settings, int index, String name) throws CommandException {
        String argument = settings.argument(index);
        if (argument.isEmpty()) {
            throw new CommandException(ExitCode.USAGE, "the command needs " + name + ": see --help");
        }
        return argument;
    }

    private static String askedBy(ClientSettings settings) throws CommandException {
        if (settings.askedBy().isBlank()) {
            throw new CommandException(ExitCode.USAGE, "say who asked for the rule with --asked-by NAME");
        }
        return settings.askedBy();
    }
}
