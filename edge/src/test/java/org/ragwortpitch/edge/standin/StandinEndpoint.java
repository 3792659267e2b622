package org.ragwortpitch.edge.standin;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.deployment.CallerLimits;
import org.ragwortpitch.edge.front.CallerRequest;
import org.ragwortpitch.edge.front.CallerResponse;
import org.ragwortpitch.edge.front.FrontServer;
import org.ragwortpitch.edge.http.Cancellation;

/**
 * Test double of an endpoint: a plain service, or an engine that prefills, or decodes five events.
 */
public final class StandinEndpoint implements AutoCloseable {

    /** How an endpoint responds to requests. */
    public enum Mode {
        /** Responds successfully, with the header that proves that it ran the request. */
        GOOD,
        /** Refuses each request with 503, marked as not run. */
        FULL,
        /** Closes the connection within the third event of a stream, or before the body of a plain response. */
        BREAKING,
        /** Ends the response in order, within the third event of a stream. */
        STOPPING,
        /** Runs the request and responds with 500, or the status that was set. */
        FAILING,
        /** Responds as if successful, but without the header that proves that it ran the request. */
        UNSIGNED,
        /** Never responds. */
        SILENT,
        /** Closes the connection of each request without a response, as an engine that is down. */
        CRASHED
    }

    private static final int EVENTS_PER_STREAM = 5;

    private static final int BREAKING_EVENT = 3;

    private final TestEventLoop loops = new TestEventLoop();
    private final String id;
    private final List<HttpHeaders> executedRequests = new CopyOnWriteArrayList<>();
    private final List<String> executedPaths = new CopyOnWriteArrayList<>();
    private final AtomicInteger prefills = new AtomicInteger();
    private final FrontServer server;
    private final List<StandinAnswer> answers = new CopyOnWriteArrayList<>();
    private volatile Supplier<Mode> modes = () -> Mode.GOOD;
    private volatile boolean marksAnswers;
    private volatile long paceMillis;
    private final AtomicInteger crashRequests = new AtomicInteger();
    private final List<Long> arrivalMillis = new CopyOnWriteArrayList<>();
    private final Set<CallerResponse> pending = ConcurrentHashMap.newKeySet();
    private volatile String rateLimit = "";
    private volatile String restSeconds = "";
    private volatile boolean saysLeaving;
    private volatile String crashBlock = "";
    private volatile String crashPath = "";
    private volatile long startMillis = 1;
    private volatile String version = "v1";
    private volatile String domain = "a";
    private volatile String eventData = "x";
    private volatile int failureStatus = 500;

    public StandinEndpoint(String id) {
        this.id = id;
        server = new FrontServer(
                loops.loop(),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                () -> CallerLimits.DEFAULT,
                this::handle,
                TestEventLoop.CLOCK_MILLIS);
    }

    public String id() {
        return id;
    }

    public void mode(Mode newMode) {
        modes = () -> newMode;
    }

    /** Sets the failure domain that its entries name from now on. */
    public StandinEndpoint in(String newDomain) {
        domain = newDomain;
        return this;
    }

    /**
     * Draws a mode for each request from now on.
     */
    public void modes(Supplier<Mode> drawn) {
        modes = drawn;
    }

    /**
     * Names the attempt in the body of each plain answer and in the data of each event from now on.
     */
    public void markAnswers() {
        marksAnswers = true;
    }

    /**
     * Returns the answers to all requests but prefills, in the order in which they began.
     */
    public List<StandinAnswer> answers() {
        return answers;
    }

    /**
     * Fails each request from now on, once it has run it.
     */
    public void failAfterRunning(int status) {
        failureStatus = status;
        mode(Mode.FAILING);
    }

    /** Sets how long a plain response, a prefill, or each event takes, in milliseconds. */
    public void pace(long millis) {
        paceMillis = millis;
    }

    /**
     * Sets the rate limit that it states in its responses.
     *
     * @param perSecond in requests a second; empty to state none
     */
    public void limit(String perSecond) {
        rateLimit = perSecond;
    }

    /**
     * Sets what it states as Retry-After with each refusal for being full.
     *
     * @param seconds empty to state nothing
     */
    public void rest(String seconds) {
        restSeconds = seconds;
    }

    /**
     * Says in all responses from now on that it leaves, whatever its entry says.
     */
    public void sayLeaving() {
        saysLeaving = true;
    }

    /**
     * Returns when requests have arrived, in milliseconds of the test's clock.
     */
    public List<Long> arrivalMillis() {
        return arrivalMillis;
    }

    /**
     * Sets the version of its software, which its entry states from the next listing on and its events have as data.
     */
    public void version(String newVersion) {
        version = newVersion;
        eventData = newVersion;
    }

    /**
     * Crashes when it begins to execute a request whose prompt has a prefix block.
     *
     * @param block the id of the block, in hexadecimal
     */
    public void crashOn(String block) {
        crashBlock = block;
    }

    /**
     * Crashes when it begins to execute a request with a path.
     */
    public void crashOnPath(String path) {
        crashPath = path;
    }

    /**
     * Crashes now, whatever it executes.
     */
    public void crash() {
        mode(Mode.CRASHED);
        pending.forEach(CallerResponse::abort);
        pending.clear();
    }

    /**
     * Returns how many requests have arrived that crash it, whether it was up or not.
     */
    public int crashRequests() {
        return crashRequests.get();
    }

    /**
     * Returns whether it has crashed and not started again.
     */
    public boolean isCrashed() {
        return modes.get() == Mode.CRASHED;
    }

    /**
     * Starts again after a crash, as a new incarnation under the same id; it has to be listed anew.
     */
    public void restart() {
        startMillis++;
        mode(Mode.GOOD);
        saysLeaving = false;
    }

    /**
     * Returns the port it listens on.
     */
    public int port() {
        return server.address().getPort();
    }

    /**
     * Returns the headers of the requests it ran, except prefills, in the order of arrival.
     */
    public List<HttpHeaders> executedRequests() {
        return executedRequests;
    }

    /**
     * Returns path and attempt id of the requests it ran, except prefills, separated by a space.
     */
    public List<String> executedPaths() {
        return executedPaths;
    }

    /**
     * Returns how many prefills it accepted.
     */
    public int prefills() {
        return prefills.get();
    }

    /**
     * Adds its entry to the store's endpoints topic.
     *
     * @param stage prefill, decode, or empty for a plain service
     */
    public void list(StandinStore store, String pool, String stage, String state) {
        list(store, port(), pool, stage, state);
    }

    /**
     * Adds its entry with another port, such as that of a proxy, to the store's endpoints topic.
     */
    public void list(StandinStore store, int port, String pool, String stage, String state) {
        list(store, port, pool, stage, state, id);
    }

    /**
     * Adds an entry of another endpoint, like its own, to the store's endpoints topic.
     */
    public void list(StandinStore store, int port, String pool, String stage, String state, String otherId) {
        String entry = EndpointEntry.json(domain, pool, port, version, stage, state, startMillis);
        store.put("keyed.servers", "servers/" + otherId, entry);
    }

    private Cancellation handle(CallerRequest request, CallerResponse response) {
        if (crashesOn(request)) {
            crashRequests.incrementAndGet();
        }
        Mode mode = modes.get();
        HttpHeaders headers = new DefaultHttpHeaders();
        if (request.headers().contains(Headers.ATTEMPT)) {
            headers.set(Headers.ATTEMPT, request.headers().get(Headers.ATTEMPT));
        }
        arrivalMillis.add(TestEventLoop.CLOCK_MILLIS.getAsLong());
        if (saysLeaving) {
            headers.set(Headers.LEAVING, 1);
        }
        if (mode == Mode.FULL && !restSeconds.isEmpty()) {
            headers.set(Headers.RETRY_AFTER, restSeconds);
        }
        if (!rateLimit.isEmpty()) {
            headers.set(Headers.RATE_LIMIT, rateLimit);
        }
        if (!id.equals(request.headers().get(Headers.TARGET))) {
            refuse(421, request, response, headers);
        } else if (mode == Mode.FULL) {
            refuse(503, request, response, headers);
        } else if (mode == Mode.CRASHED) {
            response.abort();
        } else if (mode != Mode.SILENT) {
            run(mode, request, response, headers);
        }
        return Cancellation.NONE;
    }

    private boolean crashesOn(CallerRequest request) {
        String blocks = request.headers().get(Headers.PREFIX_BLOCKS, "");
        return !crashPath.isEmpty() && crashPath.equals(request.path())
                || !crashBlock.isEmpty() && ("," + blocks).contains("," + crashBlock + ":");
    }

    private void refuse(int status, CallerRequest request, CallerResponse response, HttpHeaders headers) {
        answers.add(new StandinAnswer(attempt(request), "", status));
        response.sendFull(status, headers.set(Headers.NOT_EXECUTED, 1), Unpooled.EMPTY_BUFFER);
    }

    private static String attempt(CallerRequest request) {
        return request.headers().get(Headers.ATTEMPT, "");
    }

    private void run(Mode mode, CallerRequest request, CallerResponse response, HttpHeaders headers) {
        if (request.headers().contains(Headers.ROLE)) {
            prefills.incrementAndGet();
            runAfterPace(
                    () -> response.sendFull(200, headers, text("{\"CacheHandle\":\"h1\",\"Tokens\":1,\"Version\":1}")));
            return;
        }
        executedRequests.add(request.headers());
        executedPaths.add(request.path() + " " + request.headers().get(Headers.ATTEMPT));
        if (crashesOn(request)) {
            response.abort();
            crash();
            return;
        }
        if (mode != Mode.UNSIGNED) {
            headers.set(Headers.SEAL, id + "/" + attempt(request) + "/" + executedRequests.size());
        }
        int status = mode == Mode.FAILING ? failureStatus : 200;
        answers.add(new StandinAnswer(attempt(request), headers.get(Headers.SEAL, ""), status));
        if (mode == Mode.FAILING) {
            response.sendFull(status, headers, text("failed"));
        } else if (request.headers().contains(Headers.TOKENS)) {
            stream(request, response, headers);
        } else if (mode == Mode.BREAKING) {
            response.beginStream(200, headers);
            response.abort();
        } else {
            pending.add(response);
            runAfterPace(() -> {
                if (pending.remove(response)) {
                    response.sendFull(200, headers, text("done by " + id + mark(request)));
                }
            });
        }
    }

    private void stream(CallerRequest request, CallerResponse response, HttpHeaders headers) {
        response.beginStream(200, headers);
        String last = request.headers().get(Headers.LAST_EVENT);
        String data = marksAnswers ? attempt(request) : eventData;
        event(response, last == null ? 1 : Integer.parseInt(last) + 1, data);
    }

    private String mark(CallerRequest request) {
        return marksAnswers ? " for " + attempt(request) : "";
    }

    private void event(CallerResponse response, int event, String data) {
        Mode mode = modes.get();
        if (event > EVENTS_PER_STREAM) {
            response.endStream();
        } else if (mode == Mode.BREAKING && event == BREAKING_EVENT) {
            response.sendChunk(text("id: " + event + "\nda"));
            loops.loop().execute(response::abort);
        } else if (mode == Mode.STOPPING && event == BREAKING_EVENT) {
            response.sendChunk(text("id: " + event + "\nda"));
            response.endStream();
        } else {
            response.sendChunk(text("id: " + event + "\ndata: " + data + "\n\n"));
            runAfterPace(() -> event(response, event + 1, data));
        }
    }

    private void runAfterPace(Runnable action) {
        if (paceMillis == 0) {
            action.run();
        } else {
            loops.loop().schedule(action, paceMillis, TimeUnit.MILLISECONDS);
        }
    }

    private static io.netty.buffer.ByteBuf text(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        server.close();
        loops.close();
    }
}
