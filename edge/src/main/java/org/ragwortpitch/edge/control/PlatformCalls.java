package org.ragwortpitch.edge.control;

import java.lang.System.Logger;
import java.util.function.Consumer;
import org.ragwortpitch.contract.HttpCall;
import org.ragwortpitch.edge.http.CallAnswer;
import org.ragwortpitch.edge.http.HttpCaller;
import org.ragwortpitch.logging.Event;

/**
 * Makes the calls of duties. Confined to the control thread.
 */
final class PlatformCalls {

    private static final Logger LOGGER = System.getLogger(PlatformCalls.class.getName());

    /** How long an answer may take, in milliseconds; one that comes later is as good as lost. */
    private static final long ANSWER_MILLIS = 2_000;

    private final HttpCaller caller;
    private final String address;

    PlatformCalls(HttpCaller caller, String address) {
        this.caller = caller;
        this.address = address;
    }

    /**
     * Makes a call.
     *
     * @param what     for logs
     * @param answered hears of any answer
     * @param failed   hears that there was none; the call may still be carried out
     */
    void call(HttpCall call, String what, Consumer<CallAnswer> answered, Runnable failed) {
        caller.call(
                address,
                call,
                ANSWER_MILLIS,
                answer -> {
                    Event.of("duty-call")
                            .with("what", what)
                            .with("status", answer.status())
                            .info(LOGGER);
                    answered.accept(answer);
                },
                breakage -> {
                    Event.of("duty-call")
                            .with("what", what)
                            .with("status", "-")
                            .with("reason", breakage.reason())
                            .warn(LOGGER);
                    failed.run();
                });
    }
}
