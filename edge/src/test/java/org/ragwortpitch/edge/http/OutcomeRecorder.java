package org.ragwortpitch.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.ragwortpitch.adapter.Headers;

/**
 * Collects the response to a request.
 */
final class OutcomeRecorder implements ResponseListener {

    private final CompletableFuture<Outcome> outcome;
    private final StringBuilder body = new StringBuilder();
    private int status;
    private String seal = "";

    OutcomeRecorder(CompletableFuture<Outcome> outcome) {
        this.outcome = outcome;
    }

    @Override
    public void onHead(int newStatus, HttpHeaders headers) {
        status = newStatus;
        seal = headers.get(Headers.SEAL, "");
    }

    @Override
    public void onContent(ByteBuf content) {
        body.append(content.toString(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void onEnd(boolean framed) {
        outcome.complete(new Outcome(true, status, seal, body.toString()));
    }

    @Override
    public void onFailure(CallFailure failure) {
        outcome.complete(Outcome.FAILED);
    }
}
