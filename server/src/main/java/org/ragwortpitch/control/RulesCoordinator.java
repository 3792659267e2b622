package org.ragwortpitch.control;

import java.lang.System.Logger;
import org.ragwortpitch.configuration.Configuration;
import org.ragwortpitch.configuration.InvalidRulesException;
import org.ragwortpitch.configuration.RulesDifference;
import org.ragwortpitch.controllog.ApplyResult;
import org.ragwortpitch.controllog.ConfigurationChanged;
import org.ragwortpitch.controllog.ControlStateReducer;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.refusal.ErrorKind;
import org.ragwortpitch.refusal.RefusedException;

/**
 * Keeps the parsed rules up to date with the log and proposes changes of them. Confined to the control thread.
 */
final class RulesCoordinator {

    private static final Logger LOGGER = System.getLogger(RulesCoordinator.class.getName());

    private final ControlStateReducer reducer;

    private final LogWriter writer;

    private Configuration configuration = Configuration.EMPTY;

    private long version = -1;

    RulesCoordinator(ControlStateReducer reducer, LogWriter writer) {
        this.reducer = reducer;
        this.writer = writer;
    }

    /**
     * Parses the rules again if the log has changed them. Rules that this version cannot parse are logged, and the
     * former ones stay in force.
     *
     * @return whether other rules are now in force
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
                    .with("remedy", "replace this daemon with one of the version that accepted these rules")
                    .warn(LOGGER);
            return false;
        }
    }

    /**
     * Proposes a change. It takes effect only if no other change is written to the log before it.
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
            if (readBack.result() == ApplyResult.ACCEPTED) {
                proposal.result().complete(readBack.offset());
            } else {
                proposal.result().completeExceptionally(staleVersion());
            }
        });
    }

    private RefusedException staleVersion() {
        return RefusedException.notRun(
                ErrorKind.CONFLICT,
                "the rules have changed since they were read: read them again (the version is now "
                        + reducer.configuration().version() + "), redo the edit and apply it");
    }

    Configuration configuration() {
        return configuration;
    }

    /**
     * Returns the version of the newest rules in the log.
     *
     * @return the version; -1 before any
     */
    long version() {
        return version;
    }
}
