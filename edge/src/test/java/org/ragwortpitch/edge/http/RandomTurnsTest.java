package org.ragwortpitch.edge.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.statistics.Statistics;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.edge.standin.ExtraBytes;
import org.ragwortpitch.edge.standin.Framing;
import org.ragwortpitch.edge.standin.TestEventLoop;
import org.ragwortpitch.edge.standin.Turn;
import org.ragwortpitch.edge.standin.TurnPeer;

/**
 * Plays random series of requests to an endpoint that writes copies, parts and other bytes around its answers.
 */
class RandomTurnsTest {

    private static final int WHOLE = 1_000;

    private static final long ANSWER_MILLIS = 100;

    private static final TestEventLoop LOOPS = new TestEventLoop();

    @AfterContainer
    static void close() {
        LOOPS.close();
    }

    /** Guards against a request that gets the status, seal or body of another one, or a part of its own. */
    @Property(tries = 40, seed = "11")
    void testEachSuccessIsTheOwnWholeAnswer(@ForAll("turns") List<Turn> turns) throws Exception {
        ConnectionPool pool = new ConnectionPool(LOOPS.loop(), 2_000, TestEventLoop.CLOCK_MILLIS);
        try (TurnPeer peer = new TurnPeer(turns)) {
            for (int number = 0; number < turns.size(); number++) {
                Turn turn = turns.get(number);
                Outcome outcome = play(pool, peer, turn, number);
                if (!turn.call()) {
                    Statistics.label("requests").collect(outcome.complete() ? "answered" : "failed");
                    assertOwn(turn, number, outcome);
                }
            }
        }
        Statistics.label("requests")
                .coverage(checker -> checker.check("answered").percentage(share -> share > 20));
    }

    private static void assertOwn(Turn turn, int number, Outcome outcome) {
        if (!outcome.complete()) {
            return;
        }
        String body = TurnPeer.body(number);
        assertEquals(turn.status(), outcome.status());
        assertEquals(TurnPeer.seal(number), outcome.seal());
        if (turn.framing() == Framing.WITHOUT_LENGTH) {
            assertTrue(body.startsWith(outcome.body()), outcome.body());
        } else {
            assertEquals(body, outcome.body());
        }
    }

    private static Outcome play(ConnectionPool pool, TurnPeer peer, Turn turn, int number) throws Exception {
        CompletableFuture<Outcome> outcome = new CompletableFuture<>();
        String id = TurnPeer.attemptId(turn, number);
        HttpHeaders headers = new DefaultHttpHeaders();
        if (!id.isEmpty()) {
            headers.set(Headers.ATTEMPT, id);
        }
        OutboundRequest request = new OutboundRequest("GET", "/" + number, headers, Unpooled.EMPTY_BUFFER, id);
        CompletableFuture<Cancellation> send = new CompletableFuture<>();
        LOOPS.loop()
                .execute(() -> send.complete(
                        pool.send(peer.address(), request, Long.MAX_VALUE, new OutcomeRecorder(outcome))));
        try {
            return outcome.get(ANSWER_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException exception) {
            LOOPS.loop().submit(() -> send.join().cancel()).get();
            return outcome.getNow(Outcome.FAILED);
        }
    }

    @Provide
    Arbitrary<List<Turn>> turns() {
        Arbitrary<List<ExtraBytes>> extras = extras().list().ofMaxSize(3);
        Arbitrary<List<ExtraBytes>> mostlyNone =
                Arbitraries.frequencyOf(Tuple.of(3, Arbitraries.just(List.of())), Tuple.of(1, extras));
        Arbitrary<Framing> framing = Arbitraries.of(
                Framing.LENGTH,
                Framing.LENGTH,
                Framing.LENGTH,
                Framing.CHUNKED,
                Framing.CHUNKED,
                Framing.WITHOUT_LENGTH);
        return Combinators.combine(
                        Arbitraries.of(false, false, false, false, true),
                        Arbitraries.of(200, 200, 404, 500, 503),
                        framing,
                        Arbitraries.of(false, true),
                        partial(6),
                        mostlyNone,
                        mostlyNone,
                        Arbitraries.of(false, false, false, true))
                .as(Turn::new)
                .list()
                .ofMinSize(2)
                .ofMaxSize(10);
    }

    private static Arbitrary<ExtraBytes> extras() {
        return Combinators.combine(
                        Arbitraries.of(
                                ExtraBytes.Kind.COPY,
                                ExtraBytes.Kind.COPY,
                                ExtraBytes.Kind.COPY,
                                ExtraBytes.Kind.REFUSAL,
                                ExtraBytes.Kind.INTERIM,
                                ExtraBytes.Kind.JUNK),
                        Arbitraries.integers().between(1, 3),
                        Arbitraries.of(true, false),
                        Arbitraries.of(Framing.values()),
                        partial(1))
                .as(ExtraBytes::new);
    }

    private static Arbitrary<Integer> partial(int wholes) {
        return Arbitraries.frequencyOf(
                Tuple.of(wholes, Arbitraries.just(WHOLE)),
                Tuple.of(1, Arbitraries.integers().between(0, WHOLE - 1)));
    }
}
