package org.ragwortpitch.edge.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortpitch.adapter.Headers;

/**
 * Guards against a caller that sets headers of the system, and against one that uses Connection to suppress them.
 */
class ForwardHeadersTest {

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-Ragwortpitch-Tenant",
                "x-ragwortpitch-kv-hold",
                "X-RAGWORTPITCH-PIN-MS",
                "X-Ragwortpitch-Kv-Backup",
                "X-Ragwortpitch-Kv-Source",
                "X-Ragwortpitch-Stage",
                "X-Ragwortpitch-Target-Instance",
                "X-Ragwortpitch-Request-Priority",
                "Kv-Fetch",
                "Authorization",
                "Transfer-Encoding",
                "Keep-Alive",
                "Upgrade"
            })
    void testSystemAndHopByHopHeadersAreNotForwarded(String name) {
        assertFalse(ForwardHeaders.ofRequest(new DefaultHttpHeaders().set(name, "x"))
                .contains(name));
    }

    @Test
    void testHeadersListedInConnectionAreNotForwarded() {
        HttpHeaders sent =
                new DefaultHttpHeaders().set("Connection", "close, X-Mine").set("X-Mine", "1");
        assertFalse(ForwardHeaders.ofRequest(sent).contains("X-Mine"));
    }

    @Test
    void testConnectionCannotSuppressSystemHeaders() {
        HttpHeaders sent = new DefaultHttpHeaders()
                .set("Connection", "x-ragwortpitch-attempt-id, last-event-id, host")
                .set(Headers.ATTEMPT, "1")
                .set(Headers.LAST_EVENT, "4")
                .set("Host", "paws.example");
        assertEquals(3, ForwardHeaders.ofRequest(sent).size());
    }

    @Test
    void testOtherHeadersAreForwardedUnchanged() {
        HttpHeaders sent =
                new DefaultHttpHeaders().add("X-A", "1").add("X-A", "2").add(Headers.TOKENS, "10,5");
        HttpHeaders forwarded = ForwardHeaders.ofRequest(sent);
        assertEquals(2, forwarded.getAll("X-A").size());
        assertTrue(forwarded.contains(Headers.TOKENS));
    }
}
