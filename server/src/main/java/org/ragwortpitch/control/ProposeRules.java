package org.ragwortpitch.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ragwortpitch.configuration.Rule;

/**
 * An operator wants other rules.
 *
 * @param basedOn  the version that the operator edited
 * @param rules    the rules as they are to be, checked as a whole
 * @param operator who applies them
 * @param result   gets the new version, or fails with {@link org.ragwortpitch.answer.RefusedException}
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
