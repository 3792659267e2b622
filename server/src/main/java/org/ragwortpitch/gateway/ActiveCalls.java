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
 * Registry of the calls in progress, used to abort calls whose API key is withdrawn. Thread-safe.
 */
public final class ActiveCalls {

    private final Map<KillSwitch, KeyHash> authenticated = new ConcurrentHashMap<>();

    private final Map<KillSwitch, Boolean> unauthenticated = new ConcurrentHashMap<>();

    /**
     * Registers a call.
     *
     * @param context    the call
     * @param killSwitch aborts the call; identifies it until {@link #end}
     */
    public void begin(CallContext context, KillSwitch killSwitch) {
        if (context.key().isPresent()) {
            authenticated.put(killSwitch, context.key().get());
        } else {
            unauthenticated.put(killSwitch, true);
        }
    }

    /**
     * Unregisters a call; does nothing if the call is not registered.
     *
     * @param killSwitch the kill switch that the call was registered with
     */
    public void end(KillSwitch killSwitch) {
        authenticated.remove(killSwitch);
        unauthenticated.remove(killSwitch);
    }

    /**
     * Aborts, with {@link ErrorKind#BAD_KEY}, every call whose key no longer belongs to an account.
     *
     * @param configuration the current configuration
     */
    public void endWithdrawn(Configuration configuration) {
        authenticated.forEach((killSwitch, key) -> {
            if (configuration.accountOf(key).isEmpty()) {
                killSwitch.abort(new RefusedException(
                        ErrorKind.BAD_KEY,
                        ExecutionState.YES,
                        0,
                        "the API key was withdrawn during the response: ask your operator for a new key"));
            }
        });
    }

    /**
     * Returns the number of calls in progress, with and without a key.
     *
     * @return the number of calls
     */
    public int size() {
        return authenticated.size() + unauthenticated.size();
    }
}
