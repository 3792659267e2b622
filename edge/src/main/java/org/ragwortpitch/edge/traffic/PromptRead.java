package org.ragwortpitch.edge.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.function.Consumer;
import org.ragwortpitch.contract.EngineForm;
import org.ragwortpitch.contract.FormException;
import org.ragwortpitch.contract.Headers;
import org.ragwortpitch.edge.http.Breakage;
import org.ragwortpitch.edge.http.Cancellation;
import org.ragwortpitch.edge.http.OutboundRequest;
import org.ragwortpitch.edge.http.ResponseListener;

/**
 * Has an engine read a prompt for another one. The request doesn't run by that.
 */
final class PromptRead implements ResponseListener, Cancellation {

    private static final int OK = 200;

    private final EndpointState reader;
    private final long tokens;
    private final long uncachedTokens;
    private final Consumer<String> read;
    private final Consumer<String> failed;
    private final ByteBuf body = Unpooled.buffer();
    private Cancellation sent = Cancellation.NONE;
    private boolean ended;
    private int status;

    /**
     * Prepares it.
     *
     * @param read   hears of the handle under which the memory lies
     * @param failed hears of why there is none
     */
    PromptRead(EndpointState reader, long tokens, long uncachedTokens, Consumer<String> read, Consumer<String> failed) {
        this.reader = reader;
        this.tokens = tokens;
        this.uncachedTokens = uncachedTokens;
        this.read = read;
        this.failed = failed;
    }

    void start(TrafficParts parts, OutboundRequest request) {
        request.headers().set(Headers.ROLE, EngineForm.READ_ONLY);
        reader.begin();
        reader.engine().begin(tokens, uncachedTokens);
        sent = parts.connections().send(reader.endpoint().address(), request, Long.MAX_VALUE, this);
    }

    @Override
    public void cancel() {
        finish();
        sent.cancel();
    }

    @Override
    public void onHead(int newStatus, HttpHeaders headers) {
        status = newStatus;
    }

    @Override
    public void onContent(ByteBuf content) {
        body.writeBytes(content);
    }

    @Override
    public void onEnd(boolean framed) {
        finish();
        if (status != OK) {
            failed.accept("reading refused with " + status);
            return;
        }
        try {
            read.accept(EngineForm.handle(ByteBufUtil.getBytes(body)));
        } catch (FormException exception) {
            failed.accept(exception.getMessage());
        }
    }

    @Override
    public void onBroken(Breakage breakage) {
        finish();
        failed.accept("reading broken: " + breakage.reason());
    }

    private void finish() {
        if (!ended) {
            ended = true;
            reader.end();
            reader.engine().read(uncachedTokens);
            reader.engine().end(tokens);
        }
    }
}
