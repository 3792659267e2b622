package org.ragwortpitch.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.wire.generated.PeerProtocol.Frame;
import org.ragwortpitch.wire.generated.PeerProtocol.Presence;
import org.ragwortpitch.wire.generated.PeerProtocol.PresenceQuery;

/**
 * Guards against lost first calls on new connections, calls that are accepted under a wrong secret, slow failures for
 * closed ports, and responses that reach the wrong call.
 */
class PeerTransportTest {

    private static final long TIMEOUT_MILLIS = 5_000;

    private static final SharedSecret SECRET = new SharedSecret("a secret of some length");

    private static CompletionStage<Frame> presence(Frame call) {
        String asker = call.getPresenceQuery().getIncarnation();
        return CompletableFuture.completedFuture(Frame.newBuilder()
                .setPresence(Presence.newBuilder().setIncarnation("answer to " + asker))
                .build());
    }

    private static Frame query(String incarnation) {
        return Frame.newBuilder()
                .setPresenceQuery(PresenceQuery.newBuilder().setIncarnation(incarnation))
                .build();
    }

    @Test
    void testFirstCallOverNewConnectionIsAnswered() {
        try (PeerTransport one = new PeerTransport(SECRET, "127.0.0.1", 0, PeerTransportTest::presence);
                PeerTransport two = new PeerTransport(SECRET, "127.0.0.1", 0, PeerTransportTest::presence)) {
            for (int call = 0; call < 20; call++) {
                Frame answer = one.call("127.0.0.1:" + two.port(), query("c" + call), TIMEOUT_MILLIS)
                        .join();
                assertEquals("answer to c" + call, answer.getPresence().getIncarnation());
            }
        }
    }

    @Test
    void testCallWithWrongSecretIsNotServed() {
        AtomicInteger served = new AtomicInteger();
        SharedSecret other = new SharedSecret("another secret of some length");
        try (PeerTransport one = new PeerTransport(other, "127.0.0.1", 0, PeerTransportTest::presence);
                PeerTransport two = new PeerTransport(SECRET, "127.0.0.1", 0, call -> {
                    served.incrementAndGet();
                    return presence(call);
                })) {
            CompletableFuture<Frame> call = one.call("127.0.0.1:" + two.port(), query("c"), TIMEOUT_MILLIS);
            CompletionException failure = assertThrows(CompletionException.class, call::join);
            assertInstanceOf(PeerException.class, failure.getCause());
            assertEquals(0, served.get());
        }
    }

    @Test
    void testCallToClosedPortFails() {
        int closedPort;
        try (PeerTransport gone = new PeerTransport(SECRET, "127.0.0.1", 0, PeerTransportTest::presence)) {
            closedPort = gone.port();
        }
        try (PeerTransport one = new PeerTransport(SECRET, "127.0.0.1", 0, PeerTransportTest::presence)) {
            CompletableFuture<Frame> call = one.call("127.0.0.1:" + closedPort, query("c"), TIMEOUT_MILLIS);
            CompletionException failure = assertThrows(CompletionException.class, call::join);
            assertInstanceOf(PeerException.class, failure.getCause());
        }
    }

    @Test
    void testConcurrentCallsGetTheirOwnResponses() {
        try (PeerTransport one = new PeerTransport(SECRET, "127.0.0.1", 0, PeerTransportTest::presence);
                PeerTransport two = new PeerTransport(SECRET, "127.0.0.1", 0, PeerTransportTest::presence)) {
            CompletableFuture<?>[] calls = new CompletableFuture<?>[200];
            for (int index = 0; index < calls.length; index++) {
                String asker = "c" + index;
                calls[index] = one.call("127.0.0.1:" + two.port(), query(asker), TIMEOUT_MILLIS)
                        .thenAccept(answer -> assertEquals(
                                "answer to " + asker, answer.getPresence().getIncarnation()));
            }
            CompletableFuture.allOf(calls).join();
        }
    }
}
