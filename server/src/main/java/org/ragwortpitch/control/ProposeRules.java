package org.ragwortpitch.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ragwortpitch.configuration.Rule;

/**
 * An operator's change of the rules.
 *
 * @param basedOn  the version of the rules that the operator edited
 * @param rules    all rules after the change; already validated as a whole
 * @param operator the name of the operator
 * @param result   completed with the new version, or exceptionally with {@link
 *                 org.ragwortpitch.refusal.RefusedException} if the rules have changed since the version on which the
 *                 change is based
 */
public record ProposeRules(long basedOn, List<Rule> rules, String operator, CompletableFuture<Long> result)
        implements ControlMessage {

    /**
     * Copies the list.
     */
    public ProposeRules {
        rules = List.copyOf(rules);
    }
}
