package org.ragwortpitch.edge.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.ragwortpitch.adapter.CodecException;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.adapter.KeyedRecord;
import org.ragwortpitch.adapter.StoreCodec;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.deployment.CallerLimits;
import org.ragwortpitch.edge.front.CallerRequest;
import org.ragwortpitch.edge.front.CallerResponse;
import org.ragwortpitch.edge.front.FrontServer;
import org.ragwortpitch.edge.http.Cancellation;

/**
 * Test double of the platform's store and of its duty calls: in-memory topics, and a single lease on all duties.
 */
public final class StandinStore implements AutoCloseable {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final long POLL_MILLIS = 20;

    private final TestEventLoop loops = new TestEventLoop();
    private final Map<String, List<byte[]>> topics = new HashMap<>();
    private final List<String> duties = new CopyOnWriteArrayList<>();
    private final List<DutyCall> dutyCalls = new CopyOnWriteArrayList<>();
    private final List<String> joins = new CopyOnWriteArrayList<>();
    private final StandinGroup group = new StandinGroup();
    private final FrontServer server;
    private final Closer views = new Closer();
    private volatile boolean down;
    private volatile String downTopic = "";
    private volatile String delayedTopic = "";
    private volatile long delayMillis;
    private final AtomicInteger delayedReads = new AtomicInteger();
    private final AtomicInteger refusedCalls = new AtomicInteger();
    private volatile long ignoredBeforeMillis = Long.MIN_VALUE;
    private final Map<String, Integer> firstOffsets = new HashMap<>();
    private volatile long era = 1;

    public StandinStore() {
        server = new FrontServer(
                loops.loop(),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                () -> CallerLimits.DEFAULT,
                (request, response) -> handle(request, response, UnaryOperator.identity()),
                TestEventLoop.CLOCK_MILLIS);
    }

    /**
     * Opens another address of this store, at which endpoints are listed with other ports, so that a daemon reaches
     * them by paths of its own.
     *
     * @param ports for each port of an endpoint, the one that is listed instead
     */
    public String addressWithPorts(Map<Integer, Integer> ports) {
        UnaryOperator<String> replacePorts = entry -> {
            String replaced = entry;
            for (Map.Entry<Integer, Integer> port : ports.entrySet()) {
                replaced = replaced.replace("127.0.0.1:" + port.getKey(), "127.0.0.1:" + port.getValue());
            }
            return replaced;
        };
        FrontServer view = views.add(new FrontServer(
                loops.loop(),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                () -> CallerLimits.DEFAULT,
                (request, response) -> handle(request, response, replacePorts),
                TestEventLoop.CLOCK_MILLIS));
        return "127.0.0.1:" + view.address().getPort();
    }

    public String address() {
        return "127.0.0.1:" + server.address().getPort();
    }

    /**
     * Refuses all calls with 503 from now on, or serves them again.
     */
    public void down(boolean isDown) {
        down = isDown;
    }

    /**
     * Serves calls again; the members of the duties' group are as before the outage, with their whole time to live.
     */
    public void returnWithMembers() {
        onLoop(() -> {
            group.renewAll();
            down = false;
            return true;
        });
    }

    /**
     * Returns the member that has the duties now or had them last; empty if none has.
     */
    public String dutyHolder() {
        return onLoop(group::holder);
    }

    /**
     * Returns how many calls it has refused as it was down.
     */
    public int refusedCalls() {
        return refusedCalls.get();
    }

    /**
     * Refuses all calls that name a topic with 503 from now on; serves all topics if the name is empty.
     */
    public void downTopic(String topic) {
        downTopic = topic;
    }

    /**
     * Delays the answers to reads of a topic from now on: they show what the topic held when the read came.
     */
    public void delayAnswers(String topic, long millis) {
        delayedTopic = topic;
        delayMillis = millis;
    }

    /**
     * Returns how many answers have been delayed.
     */
    public int delayedReads() {
        return delayedReads.get();
    }

    /**
     * Never responds to the long polls that are waiting now, as if their network path had failed silently.
     */
    public void ignoreWaitingReads() {
        ignoredBeforeMillis = TestEventLoop.CLOCK_MILLIS.getAsLong();
    }

    /**
     * Returns a copy of what it holds now, to be put back later.
     */
    public StoreCopy copy() {
        return onLoop(() -> StoreCopy.of(topics, group.generation()));
    }

    /**
     * Puts a copy back: what daemons wrote since is gone, what operators and endpoints wrote is written again. The
     * memberships of the duties' group have expired, and the duties go to another member than before.
     *
     * @param writtenFirst what is written before that which is written again
     */
    public void restore(StoreCopy copy, Runnable writtenFirst) {
        onLoop(() -> {
            Map<String, List<byte[]>> lost = Map.copyOf(topics);
            topics.clear();
            topics.putAll(StoreCopy.of(copy.topics(), 0).topics());
            writtenFirst.run();
            for (String topic : List.of(StoreCodec.OPERATORS_TOPIC, StoreCodec.ENDPOINTS_TOPIC)) {
                List<byte[]> written = lost.getOrDefault(topic, List.of());
                int copied = copy.topics().getOrDefault(topic, List.of()).size();
                topic(topic).addAll(written.subList(copied, written.size()));
            }
            era++;
            return group.restore(copy.generation());
        });
    }

    /**
     * Assigns the duties to another member than before.
     */
    public void handOverDuties() {
        onLoop(group::passOn);
    }

    /**
     * Deletes the records that a topic holds now, as if they had expired; their offsets stay used.
     */
    public void expire(String topic) {
        onLoop(() -> firstOffsets.put(topic, topic(topic).size()));
    }

    private <T> T onLoop(Callable<T> action) {
        try {
            return loops.loop().submit(action).get();
        } catch (InterruptedException | ExecutionException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /**
     * Returns path and body of each duty call so far.
     */
    public List<String> duties() {
        return duties;
    }

    /**
     * Returns the duty calls so far, with lease holder and fencing token.
     */
    public List<DutyCall> dutyCalls() {
        return dutyCalls;
    }

    /**
     * Returns the member of each call so far that joined the duties' group or renewed a membership.
     */
    public List<String> joins() {
        return joins;
    }

    /**
     * Appends a keyed record, as the operator or an endpoint does. Takes effect on the event loop.
     */
    public void put(String topic, String key, String value) {
        byte[] record = StoreCodec.encodeKeyed(key, value.getBytes(StandardCharsets.UTF_8));
        if (loops.loop().inEventLoop()) {
            topic(topic).add(record);
        } else {
            loops.loop().execute(() -> topic(topic).add(record));
        }
    }

    private List<byte[]> topic(String name) {
        return topics.computeIfAbsent(name, key -> new ArrayList<>());
    }

    private Cancellation handle(CallerRequest request, CallerResponse response, UnaryOperator<String> endpointEntries) {
        QueryStringDecoder query = new QueryStringDecoder(request.target());
        if (down || query.parameters().getOrDefault("Topic", List.of()).contains(downTopic)) {
            refusedCalls.incrementAndGet();
            response.sendFull(503, headers(), Unpooled.EMPTY_BUFFER);
            return Cancellation.NONE;
        }
        try {
            switch (query.path()) {
                case "/log-newest" -> json(response, newest(field(query, "Topic"), endpointEntries));
                case "/log-append" -> json(response, append(field(query, "Topic"), request.body()));
                case "/log-join" -> json(response, join(request));
                case "/log-leave" -> json(response, leave(request));
                case "/log-read" -> read(query, response, endpointEntries, TestEventLoop.CLOCK_MILLIS.getAsLong(), era);
                default -> {
                    String body = request.body().toString(StandardCharsets.UTF_8);
                    duties.add(request.path() + " " + body);
                    dutyCalls.add(new DutyCall(
                            request.path(),
                            String.valueOf(request.headers().get(Headers.HOLDER)),
                            String.valueOf(request.headers().get(Headers.FENCING_TOKEN)),
                            body));
                    json(response, Map.of());
                }
            }
        } catch (IOException | CodecException exception) {
            response.sendFull(400, headers(), Unpooled.EMPTY_BUFFER);
        }
        return Cancellation.NONE;
    }

    private HttpHeaders headers() {
        return new DefaultHttpHeaders().set(Headers.STORE_ERA, era);
    }

    private Map<String, Object> newest(String topic, UnaryOperator<String> endpointEntries) throws CodecException {
        Map<String, Map<String, Object>> items = new LinkedHashMap<>();
        List<byte[]> records = records(topic, endpointEntries);
        for (int offset = 0; offset < records.size(); offset++) {
            KeyedRecord entry = StoreCodec.decodeKeyed(records.get(offset), offset);
            items.remove(entry.key());
            if (entry.value().length > 0) {
                String value = Base64.getEncoder().encodeToString(entry.value());
                items.put(entry.key(), Map.of("Key", entry.key(), "Value", value, "Offset", offset));
            }
        }
        return Map.of("items", items.values(), "HasMore", false, "EndOffset", records.size());
    }

    private Map<String, Object> append(String topic, ByteBuf body) {
        List<byte[]> records = topic(topic);
        int offset = records.size();
        while (body.isReadable()) {
            byte[] record = new byte[body.readInt()];
            body.readBytes(record);
            records.add(record);
        }
        return Map.of("Offset", offset, "EndOffset", records.size());
    }

    private Map<String, Object> join(CallerRequest request) throws IOException {
        JsonNode join = MAPPER.readTree(request.body().toString(StandardCharsets.UTF_8));
        String member = join.path("Member").asText();
        joins.add(member);
        boolean assigned = group.join(member, join.path("TtlMs").asLong());
        List<Object> row = List.of("duties", 0, 0);
        return Map.of("Generation", group.generation(), "parts", assigned ? List.of(row) : List.of());
    }

    private Map<String, Object> leave(CallerRequest request) throws IOException {
        group.leave(MAPPER.readTree(request.body().toString(StandardCharsets.UTF_8))
                .path("Member")
                .asText());
        return Map.of();
    }

    private List<byte[]> records(String topic, UnaryOperator<String> endpointEntries) throws CodecException {
        if (!StoreCodec.ENDPOINTS_TOPIC.equals(topic)) {
            return topic(topic);
        }
        List<byte[]> records = new ArrayList<>();
        for (byte[] record : topic(topic)) {
            KeyedRecord entry = StoreCodec.decodeKeyed(record, 0);
            String value = new String(entry.value(), StandardCharsets.UTF_8);
            records.add(StoreCodec.encodeKeyed(
                    entry.key(), endpointEntries.apply(value).getBytes(StandardCharsets.UTF_8)));
        }
        return records;
    }

    private void read(
            QueryStringDecoder query,
            CallerResponse response,
            UnaryOperator<String> endpointEntries,
            long receivedMillis,
            long receivedEra)
            throws CodecException, IOException {
        if (receivedMillis < ignoredBeforeMillis) {
            return;
        }
        if (receivedEra != era) {
            response.sendFull(503, headers(), Unpooled.EMPTY_BUFFER);
            return;
        }
        List<byte[]> records = records(field(query, "Topic"), endpointEntries);
        int from = Integer.parseInt(field(query, "From"));
        int first = firstOffsets.getOrDefault(field(query, "Topic"), 0);
        if (from < first || from > records.size()) {
            byte[] body = MAPPER.writeValueAsBytes(Map.of("FirstOffset", first));
            response.sendFull(410, headers(), Unpooled.wrappedBuffer(body));
            return;
        }
        long waitedMillis = TestEventLoop.CLOCK_MILLIS.getAsLong() - receivedMillis;
        if (from >= records.size() && waitedMillis < Long.parseLong(field(query, "WaitMs"))) {
            loops.loop()
                    .schedule(
                            () -> {
                                read(query, response, endpointEntries, receivedMillis, receivedEra);
                                return null;
                            },
                            POLL_MILLIS,
                            TimeUnit.MILLISECONDS);
            return;
        }
        ByteBuf body = Unpooled.buffer().writeLong(records.size()).writeLong(first);
        records.subList(from, records.size())
                .forEach(record -> body.writeInt(record.length).writeBytes(record));
        long millis = field(query, "Topic").equals(delayedTopic) ? delayMillis : 0;
        if (millis == 0) {
            response.sendFull(200, headers(), body);
        } else {
            delayedReads.incrementAndGet();
            loops.loop().schedule(() -> response.sendFull(200, headers(), body), millis, TimeUnit.MILLISECONDS);
        }
    }

    private static String field(QueryStringDecoder query, String name) {
        return query.parameters().get(name).get(0);
    }

    private void json(CallerResponse response, Map<String, Object> body) throws IOException {
        response.sendFull(200, headers(), Unpooled.wrappedBuffer(MAPPER.writeValueAsBytes(body)));
    }

    @Override
    public void close() {
        views.close();
        server.close();
        loops.close();
    }
}
