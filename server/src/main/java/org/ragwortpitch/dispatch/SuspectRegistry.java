package org.ragwortpitch.dispatch;

import java.lang.System.Logger;
import java.util.function.ObjIntConsumer;
import org.ragwortpitch.control.Clocks;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.suspect.Fingerprint;
import org.ragwortpitch.suspect.SuspectBook;
import org.ragwortpitch.suspect.Suspicion;

/**
 * The requests suspected of crashing endpoints, told to other daemons as they become known. Safe for use by many
 * threads.
 */
public final class SuspectRegistry {

    /**
     * Where events go.
     */
    private static final Logger LOGGER = System.getLogger(SuspectRegistry.class.getName());

    /**
     * The suspects; its own monitor guards it.
     */
    private final SuspectBook book = new SuspectBook();

    /**
     * The clocks.
     */
    private final Clocks clocks;

    /**
     * Tells other daemons of a suspect and the crashes that it was under way at.
     */
    private final ObjIntConsumer<Fingerprint> teller;

    /**
     * Makes a registry without suspects.
     *
     * @param clocks the clocks
     * @param teller tells other daemons of a suspect and the crashes that it was under way at
     */
    public SuspectRegistry(Clocks clocks, ObjIntConsumer<Fingerprint> teller) {
        this.clocks = clocks;
        this.teller = teller;
    }

    /**
     * Notes that a request was under way when an endpoint crashed.
     *
     * @param request the request
     */
    public void crashed(Fingerprint request) {
        int crashes;
        synchronized (book) {
            crashes = book.crashed(request, clocks.nowMillis());
        }
        teller.accept(request, crashes);
        Event.of("request-suspected")
                .with("fingerprint", request.value())
                .with("crashes", crashes)
                .warn(LOGGER);
    }

    /**
     * Notes what another daemon has told.
     *
     * @param request the request
     * @param crashes the crashes that it was under way at
     */
    public void learn(Fingerprint request, int crashes) {
        synchronized (book) {
            book.learn(request, crashes, clocks.nowMillis());
        }
    }

    /**
     * Notes that a request has finished well.
     *
     * @param request the request
     */
    public void finished(Fingerprint request) {
        synchronized (book) {
            book.finished(request, clocks.nowMillis());
        }
    }

    /**
     * Tells what is thought of a request.
     *
     * @param request the request
     * @return the suspicion
     */
    public Suspicion suspicion(Fingerprint request) {
        synchronized (book) {
            return book.suspicion(request, clocks.nowMillis());
        }
    }
}
