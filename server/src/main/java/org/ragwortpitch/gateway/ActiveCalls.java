package org.ragwortpitch.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.pekko.stream.KillSwitch;
import org.ragwortpitch.configuration.Configuration;
import org.ragwortpitch.identity.KeyHash;
import org.ragwortpitch.refusal.ErrorKind;
import org.ragwortpitch.refusal.ExecutionState;
import org.ragwortpitch.refusal.RefusedException;

/**
 * The calls under way, so that those of a withdrawn key end with it. Safe for use by many threads.
 */
public final class ActiveCalls {

    /**
     * The key of each call that has one.
     */
    private final Map<KillSwitch, KeyHash> keyed = new ConcurrentHashMap<>();

    /**
     * The calls without a key.
     */
    private final Map<KillSwitch, Boolean> open = new ConcurrentHashMap<>();

    /**
     * Notes that a call begins.
     *
     * @param context     the call
     * @param killSwitch ends it
     */
    public void begin(CallContext context, KillSwitch killSwitch) {
        if (context.key().isPresent()) {
            keyed.put(killSwitch, context.key().get());
        } else {
            open.put(killSwitch, true);
        }
    }

    /**
     * Notes that a call has ended.
     *
     * @param killSwitch what would have ended it
     */
    public void end(KillSwitch killSwitch) {
        keyed.remove(killSwitch);
        open.remove(killSwitch);
    }

    /**
     * Ends the calls of withdrawn keys.
     *
     * @param rules the rules in force
     */
    public void endWithdrawn(Configuration rules) {
        keyed.forEach((killSwitch, key) -> {
            if (rules.accountOf(key).isEmpty()) {
                killSwitch.abort(new RefusedException(
                        ErrorKind.BAD_KEY,
                        ExecutionState.YES,
                        0,
                        "the key was withdrawn while the answer was under way: ask your operator for a new one"));
            }
        });
    }

    /**
     * Counts the calls under way.
     *
     * @return the count
     */
    public int size() {
        return keyed.size() + open.size();
    }
}
