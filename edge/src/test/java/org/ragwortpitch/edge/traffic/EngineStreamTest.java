package org.ragwortpitch.edge.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.EngineSpec;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.SoftwareVersion;

class EngineStreamTest {

    private String outcome = "";

    /** Guards against an engine that ends within an event, and is taken to have responded completely. */
    @ParameterizedTest
    @CsvSource({
        "false, '', failed",
        "false, 'id: 1|da', failed",
        "false, 'id: 1|data: x||', complete",
        "false, 'id: 1|data: x||id: 2|da', failed",
        "true, 'id: 1|data: x||', complete",
        "true, 'id: 1|data: x||id: 2|da', failed",
        "true, 'id: 1|da', failed",
        "true, '', failed"
    })
    void testResponseIsCompleteAfterAWholeEvent(boolean framed, String content, String expected) {
        Endpoint endpoint = new Endpoint(
                new EndpointId("i-1"),
                new PoolId("llm"),
                "127.0.0.1:1",
                new FailureDomain("a"),
                64,
                false,
                EndpointRole.DECODE,
                1,
                false,
                OptionalLong.empty(),
                SoftwareVersion.UNSTATED);
        EndpointState target = new EndpointState(endpoint, Optional.of(new EngineSpec(64, 500_000, 1, 1, 1, 1)), 0);
        EngineStream stream =
                new EngineStream(target, 10, 0, new EventSequence(StreamEvent.NO_ID), new OutcomeListener());
        stream.onHead(200, new DefaultHttpHeaders().set(Headers.SEAL, "seal"));
        stream.onContent(Unpooled.copiedBuffer(content.replace('|', '\n'), StandardCharsets.UTF_8));
        stream.onEnd(framed);
        assertEquals(expected, outcome);
        assertEquals(!framed && expected.equals("failed"), stream.isConnectionLost());
    }

    /** Keeps how a stream ended. */
    private final class OutcomeListener implements StreamListener {

        @Override
        public void onEvents(EngineStream run, List<StreamEvent> events) {}

        @Override
        public void onComplete(EngineStream run, byte[] rest) {
            outcome = "complete";
        }

        @Override
        public void onRefused(EngineStream run, int status) {
            outcome = "refused";
        }

        @Override
        public void onOtherResponse(EngineStream run, int status, HttpHeaders headers, ByteBuf body) {
            outcome = "other";
        }

        @Override
        public void onFailed(EngineStream run, boolean sent, String reason) {
            outcome = "failed";
        }
    }
}
