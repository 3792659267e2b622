package org.ragwortpitch.edge.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.ragwortpitch.identity.SoftwareVersion;
import org.ragwortpitch.placement.Placement;

/**
 * Checks before a generation is sent to an engine, which refuse it if it cannot be served, and after its answer.
 * Confined to the traffic thread.
 */
record GenerationChecks(Exchange exchange, CallerPatience patience) {

    /** Retry-After of a refusal, in milliseconds: about half a typical generation, after which slots are free. */
    static final long RETRY_AFTER_MILLIS = 400;

    /** Retry-After of a request refused for its queue wait, as a multiple of the estimated wait. */
    private static final double RETRY_WAIT_FACTOR = 2;

    private static final int MIN_NON_SUCCESS_STATUS = 300;

    private static final int BAD_GATEWAY = 502;

    private static final int UNAVAILABLE = 503;

    /**
     * Refuses the request if it crashes the engines that execute it.
     *
     * @param mayHaveExecuted whether an engine may have begun to execute it
     * @return whether it was refused
     */
    boolean refuseIfPoison(boolean mayHaveExecuted) {
        Optional<String> reason = exchange.poisonReason();
        reason.ifPresent(poison -> exchange.failOrRefuse(mayHaveExecuted, 0, poison));
        return reason.isPresent();
    }

    /**
     * Refuses the request as no engine can decode it now.
     *
     * @param goneVersion      the software version at which its stream has to go on, if no engine of it is left
     * @param others           what is known of the other engines of the pool
     * @param coldReason       that engines are cold, if they are
     * @param retryAfterMillis when another engine may be found, in milliseconds
     */
    void refuseForLackOfEngines(
            boolean mayHaveExecuted,
            Optional<SoftwareVersion> goneVersion,
            String others,
            Optional<String> coldReason,
            long retryAfterMillis) {
        if (goneVersion.isPresent()) {
            exchange.failOrRefuse(
                    mayHaveExecuted,
                    0,
                    "no engine of software version " + goneVersion.get() + ", which began the stream, is left: begin it"
                            + " anew");
        } else {
            String reason = "no engine can decode; " + others
                    + coldReason.map(cold -> "; " + cold).orElse("");
            exchange.failOrRefuse(mayHaveExecuted, retryAfterMillis, reason);
        }
    }

    /**
     * Refuses the request if its first event is estimated to come too late, or to wait too long in a queue.
     *
     * @return whether it was refused
     */
    boolean refuseIfTooLate(Placement placement, long nowMillis) {
        long limitMillis = Math.min(exchange.remainingMillis(nowMillis), patience.millis());
        if (placement.firstEventMillis() > limitMillis) {
            exchange.refuse(
                    UNAVAILABLE,
                    RETRY_AFTER_MILLIS,
                    "estimated time to the first event is " + (long) placement.firstEventMillis()
                            + " ms, above the limit of " + limitMillis + " ms: retry later");
            return true;
        }
        int priority = exchange.route().priority();
        if (!placement.isAdmissible(exchange.route().targetMillis(), priority)) {
            long retryAfterMillis = Math.max(RETRY_AFTER_MILLIS, (long) (RETRY_WAIT_FACTOR * placement.waitMillis()));
            exchange.refuse(
                    UNAVAILABLE,
                    retryAfterMillis,
                    "estimated queue wait is " + (long) placement.waitMillis()
                            + " ms, too long for the latency target: retry later");
            return true;
        }
        return false;
    }

    /**
     * Returns whether another engine may execute the request.
     *
     * @param executions how many times it may have been executed
     */
    boolean mayRunAgain(EventSequence sequence, int executions) {
        return exchange.route().resumable()
                && sequence.isResumable()
                && executions < exchange.route().maxEndpoints();
    }

    /**
     * Forwards an answer that is no stream. To a caller who takes a stream up, a success would be the rest of it.
     */
    void forwardOther(EventSequence sequence, int status, HttpHeaders headers, ByteBuf body) {
        if (sequence.hasBegun() && status < MIN_NON_SUCCESS_STATUS) {
            exchange.fail(BAD_GATEWAY, "engine answered with something other than the rest of a stream: " + status);
        } else {
            exchange.forwardResponse(status, headers, body);
        }
    }
}
