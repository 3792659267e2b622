package org.ragwortpitch.edge.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.ScriptedPeer;
import org.ragwortpitch.edge.standin.TestEventLoop;

/**
 * Plays two responses of which the first stops at each of its bytes, so that the second follows within it.
 */
class JoinedResponsesTest {

    private static final int GRACE_MILLIS = 1_500;

    private static final String SEAL_FIRST = "HTTP/1.1 %s\r\nServer: x y\r\n" + Headers.SEAL + ": seal-%s\r\n"
            + Headers.ATTEMPT + ": %s\r\nContent-Length: 7\r\n\r\n%7s";

    private static final String ID_FIRST = "HTTP/1.1 %s\r\n" + Headers.ATTEMPT + ": %s\r\n" + Headers.SEAL
            + ": seal-%s\r\nContent-Length: 7\r\n\r\n%7s";

    private static final Outcome ANSWER = new Outcome(true, 500, "seal-present", "present");

    private final Closer closer = new Closer();
    private final TestEventLoop loops = closer.add(new TestEventLoop());

    private final ConnectionPool pool = new ConnectionPool(
            loops.loop(), 2_000, TestEventLoop.CLOCK_MILLIS, ConnectionObserver.NONE, ResponseMemory.forControl());

    @AfterEach
    void close() {
        closer.close();
    }

    /** The order of the lines of a head. */
    enum Order {
        SEAL_BEFORE_ID(SEAL_FIRST),
        ID_BEFORE_SEAL(ID_FIRST);

        private final String format;

        Order(String format) {
            this.format = format;
        }

        String earlier() {
            return String.format(format, "200 OK", "earlier", "earlier", "earlier");
        }

        String present() {
            return String.format(format, "500 Error", "present", "present", "present");
        }
    }

    /** Guards against a success made of the start of an earlier answer and of the failure that follows it. */
    @ParameterizedTest
    @EnumSource
    void testStartOfAnEarlierAnswerJoinsNoAnswer(Order order) throws Exception {
        assertOnlyAnswers(order, cuts(order.earlier(), order.present()), Set.of(ANSWER, Outcome.FAILED));
    }

    /** Guards against an answer that goes on with an earlier one. */
    @ParameterizedTest
    @EnumSource
    void testStartOfAnAnswerJoinsNoEarlierAnswer(Order order) throws Exception {
        int head = order.present().indexOf("\r\n\r\n") + 4;
        List<String> cuts = cuts(order.present(), order.earlier()).subList(0, head);
        assertOnlyAnswers(order, cuts, Set.of(Outcome.FAILED));
    }

    private static List<String> cuts(String first, String second) {
        return IntStream.range(0, first.length())
                .mapToObj(cut -> first.substring(0, cut) + second)
                .toList();
    }

    private void assertOnlyAnswers(Order order, List<String> scripts, Set<Outcome> allowed) throws Exception {
        List<CompletableFuture<Outcome>> outcomes = new ArrayList<>();
        for (String script : scripts) {
            ScriptedPeer peer = closer.add(new ScriptedPeer(order.earlier(), script));
            assertTrue(send(peer, "earlier").get(5, TimeUnit.SECONDS).complete());
            outcomes.add(send(peer, "present"));
        }
        Thread.sleep(GRACE_MILLIS);
        List<String> wrong = new ArrayList<>();
        for (int cut = 0; cut < outcomes.size(); cut++) {
            Outcome outcome = outcomes.get(cut).getNow(Outcome.FAILED);
            if (!allowed.contains(outcome)) {
                wrong.add("after " + cut + " bytes: " + outcome);
            }
        }
        assertEquals(List.of(), wrong);
    }

    private CompletableFuture<Outcome> send(ScriptedPeer peer, String attemptId) {
        CompletableFuture<Outcome> outcome = new CompletableFuture<>();
        HttpHeaders headers = new DefaultHttpHeaders().set(Headers.ATTEMPT, attemptId);
        OutboundRequest request = new OutboundRequest("GET", "/x", headers, Unpooled.EMPTY_BUFFER, attemptId);
        loops.loop().execute(() -> pool.send(peer.address(), request, Long.MAX_VALUE, new OutcomeRecorder(outcome)));
        return outcome;
    }
}
