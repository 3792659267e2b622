package org.ragwortpitch.client;

import java.security.SecureRandom;
import java.util.Base64;
import java.util.List;
import org.ragwortpitch.identity.KeyHash;

/**
 * The commands on client accounts and their keys.
 */
final class AccountCommands {

    /**
     * The random bytes of a key.
     */
    private static final int KEY_BYTES = 32;

    /**
     * How many digits of a key's hash name it.
     */
    private static final int NAME_DIGITS = 12;

    /**
     * Not to be made.
     */
    private AccountCommands() {}

    /**
     * Creates or changes a client account.
     *
     * @param settings the command's flags and words
     * @param daemon   asks the daemon
     * @param output   takes what is printed
     * @throws CommandException if the rule cannot be taken
     */
    static void create(ClientSettings settings, DaemonCalls daemon, Output output) throws CommandException {
        String account = required(settings, 2, "ACCOUNT");
        List<String> attributes = settings.wordsFrom(3);
        String line = "account " + account + " " + String.join(" ", attributes) + " # " + askedBy(settings);
        RulesCommands.change(settings, daemon, output, "account " + account, line);
    }

    /**
     * Creates a key. It is printed once; only its hash is kept.
     *
     * @param settings the command's flags and words
     * @param daemon   asks the daemon
     * @param output   takes what is printed
     * @throws CommandException if the rule cannot be taken
     */
    static void createKey(ClientSettings settings, DaemonCalls daemon, Output output) throws CommandException {
        String account = required(settings, 2, "ACCOUNT");
        byte[] random = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(random);
        String key = "rp_" + Base64.getUrlEncoder().withoutPadding().encodeToString(random);
        String hash = KeyHash.ofKey(key).hex();
        String id = account + "." + hash.substring(0, NAME_DIGITS);
        String line = "key " + id + " account=" + account + " sha256=" + hash + " # " + askedBy(settings);
        RulesCommands.change(settings, daemon, output, "key " + id, line);
        if (settings.isJson()) {
            output.json(new CreatedKey(id, key));
        } else {
            output.print("key " + id + " (shown this once): " + key + "\n");
        }
    }

    /**
     * Withdraws a key.
     *
     * @param settings the command's flags and words
     * @param daemon   asks the daemon
     * @param output   takes what is printed
     * @throws CommandException if there is no such key
     */
    static void withdrawKey(ClientSettings settings, DaemonCalls daemon, Output output) throws CommandException {
        RulesCommands.change(settings, daemon, output, "key " + required(settings, 2, "KEY"), "");
    }

    /**
     * Requires a word.
     *
     * @param settings the command's flags and words
     * @param index    the word's place
     * @param name     what it stands for
     * @return the word
     * @throws CommandException if it is missing
     */
    private static String required(ClientSettings settings, int index, String name) throws CommandException {
        String word = settings.word(index);
        if (word.isEmpty()) {
            throw new CommandException(ExitCode.USAGE, "the command needs " + name + ": see --help");
        }
        return word;
    }

    /**
     * Requires the name of who asked.
     *
     * @param settings the command's flags and words
     * @return the comment
     * @throws CommandException if it is missing
     */
    private static String askedBy(ClientSettings settings) throws CommandException {
        if (settings.askedBy().isBlank()) {
            throw new CommandException(ExitCode.USAGE, "say who asked for the rule with --asked-by NAME");
        }
        return settings.askedBy();
    }
}
