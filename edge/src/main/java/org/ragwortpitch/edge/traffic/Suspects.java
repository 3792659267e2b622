package org.ragwortpitch.edge.traffic;

import io.netty.buffer.ByteBufUtil;
import java.lang.System.Logger;
import java.util.function.BiConsumer;
import org.ragwortpitch.contract.Headers;
import org.ragwortpitch.edge.front.CallerRequest;
import org.ragwortpitch.edge.peer.Retold;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.suspect.Fingerprint;
import org.ragwortpitch.suspect.SuspectBook;
import org.ragwortpitch.suspect.Suspicion;

/**
 * Requests that were under way when endpoints crashed, known again by caller, path and body at any daemon. Confined to
 * the traffic thread.
 */
public final class Suspects {

    private static final Logger LOGGER = System.getLogger(Suspects.class.getName());

    /** Crashes that are told to other daemons at once, at most; keeps a datagram well below its limit. */
    private static final int MAX_TOLD = 32;

    /**
     * At how many crashes a request is refused: connections also break for reasons that aren't the request's, and the
     * platform allows three.
     */
    private static final int REFUSED_AT = 3;

    private final SuspectBook book = new SuspectBook(REFUSED_AT);
    private final Retold<Crash> fresh = new Retold<>(MAX_TOLD);
    private final Retold<Crash> domainFresh = new Retold<>(MAX_TOLD);

    /**
     * Recognises a request.
     */
    static Fingerprint fingerprint(CallerRequest request) {
        String caller = String.valueOf(request.headers().get(Headers.AUTHORIZATION));
        return Fingerprint.of(caller + '\n' + request.target(), ByteBufUtil.hexDump(request.body()));
    }

    /**
     * Notes that a request was under way when an endpoint broke its connection off.
     */
    void crashed(Fingerprint request, String attemptId, long nowMillis) {
        int crashes = book.crashed(request, nowMillis);
        fresh.add(new Crash(request, crashes));
        domainFresh.add(new Crash(request, crashes));
        Event.of("suspect")
                .with("request", attemptId)
                .with("fingerprint", request.value())
                .with("crashes", crashes)
                .info(LOGGER);
    }

    /**
     * Notes that a request has finished well.
     */
    void finished(Fingerprint request, long nowMillis) {
        book.finished(request, nowMillis);
    }

    /**
     * Tells whether a request has crashed too many endpoints to be run again.
     */
    boolean isRefused(Fingerprint request, long nowMillis) {
        return book.suspicion(request, nowMillis) == Suspicion.REFUSED;
    }

    /**
     * Takes over what another daemon tells.
     */
    void learn(Fingerprint request, int crashes, long nowMillis) {
        book.learn(request, crashes, nowMillis);
    }

    /**
     * Takes over what a daemon of the same failure domain tells, and what other domains are to know too.
     */
    void learnNear(Fingerprint request, int crashes, long nowMillis) {
        learn(request, crashes, nowMillis);
        domainFresh.add(new Crash(request, crashes));
    }

    /**
     * Hands out the crashes that the daemons of this failure domain noted lately.
     *
     * @param times how often each is told
     */
    void tellOfDomain(int times, BiConsumer<Fingerprint, Integer> consumer) {
        domainFresh.next(times).forEach(crash -> consumer.accept(crash.request(), crash.crashes()));
    }

    /**
     * Hands out the crashes that were noted lately, for the next datagrams to other daemons.
     *
     * @param times how often each is told
     */
    void tell(int times, BiConsumer<Fingerprint, Integer> consumer) {
        fresh.next(times).forEach(crash -> consumer.accept(crash.request(), crash.crashes()));
    }

    /**
     * How many crashes a request was under way at.
     */
    private record Crash(Fingerprint request, int crashes) {}
}
