package org.ragwortpitch.control;

import java.lang.System.Logger;
import org.ragwortpitch.answer.ErrorKind;
import org.ragwortpitch.answer.RefusedException;
import org.ragwortpitch.configuration.Configuration;
import org.ragwortpitch.configuration.InvalidRulesException;
import org.ragwortpitch.configuration.RulesDifference;
import org.ragwortpitch.journal.ConfigurationChanged;
import org.ragwortpitch.journal.ControlFold;
import org.ragwortpitch.journal.Verdict;
import org.ragwortpitch.logging.Event;

/**
 * Keeps the configuration in step with the log and proposes changes. Confined to the control thread.
 */
final class RulesCoordinator {

    /**
     * Where events go.
     */
    private static final Logger LOGGER = System.getLogger(RulesCoordinator.class.getName());

    /**
     * The log as applied.
     */
    private final ControlFold reducer;

    /**
     * Writes to the log.
     */
    private final LogWriter writer;

    /**
     * The rules in force.
     */
    private Configuration configuration = Configuration.EMPTY;

    /**
     * Their version.
     */
    private long version = -1;

    /**
     * Makes a desk without rules.
     *
     * @param fold   the log as applied
     * @param writer writes to the log
     */
    RulesCoordinator(ControlFold fold, LogWriter writer) {
        this.reducer = fold;
        this.writer = writer;
    }

    /**
     * Reads the rules anew if the log has changed them.
     *
     * @return whether there are other rules now
     */
    boolean refresh() {
        if (reducer.configuration().version() == version) {
            return false;
        }
        version = reducer.configuration().version();
        try {
            configuration = Configuration.parse(
                    String.join("\n", reducer.configuration().lines()));
            Event.of("rules-in-force")
                    .with("version", version)
                    .with("rules", configuration.rules().size())
                    .info(LOGGER);
            return true;
        } catch (InvalidRulesException exception) {
            Event.of("rules-not-understood")
                    .with("version", version)
                    .with("reason", exception.getMessage())
                    .with("remedy", "replace this daemon by one of the version that took these rules")
                    .warn(LOGGER);
            return false;
        }
    }

    /**
     * Proposes a change. It takes effect only if nobody else's comes first.
     *
     * @param proposal the change
     */
    void propose(ProposeRules proposal) {
        if (proposal.basedOn() != reducer.configuration().version()) {
            proposal.result().completeExceptionally(staleVersion());
            return;
        }
        RulesDifference difference = RulesDifference.between(configuration.rules(), proposal.rules());
        if (difference.isEmpty()) {
            proposal.result().complete(version);
            return;
        }
        PendingEntry pending = writer.add(new ConfigurationChanged(
                proposal.basedOn(), difference.removedKeys(), difference.addedLines(), proposal.operator()));
        pending.readBack().thenAccept(readBack -> {
            if (readBack.verdict() == Verdict.ACCEPTED) {
                proposal.result().complete(readBack.offset());
            } else {
                proposal.result().completeExceptionally(staleVersion());
            }
        });
    }

    /**
     * Makes the refusal of a change that is not based on the newest version.
     *
     * @return the refusal
     */
    private RefusedException staleVersion() {
        return RefusedException.notRun(
                ErrorKind.CONFLICT,
                "the rules have changed since: read them again (the version now is "
                        + reducer.configuration().version() + "), redo the edit and apply it");
    }

    /**
     * Tells the rules in force.
     *
     * @return the configuration
     */
    Configuration configuration() {
        return configuration;
    }

    /**
     * Tells the version of the rules in force.
     *
     * @return the version; -1 without rules
     */
    long version() {
        return version;
    }
}
