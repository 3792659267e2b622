import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store (a log with keyed topics and one group) and its API for singleton duties, as PROTOCOL.md tells
 * them. All state is guarded by the object's monitor.
 */
final class Platform implements AutoCloseable {

    private static final int PARTITIONS = 12;

    private final Record record;
    private final HttpServer store;
    private final HttpServer cloud;
    private final long keepMillis;
    private State state = new State();
    private long era = 1;
    private boolean down;
    private String shunned = "";

    /** Accepted usage reports: window to the counts of each different report, in order. */
    final Map<Long, List<String>> usage = new TreeMap<>();

    /** Duty calls that were accepted: "subject holder token". */
    final List<String> dutyCalls = new ArrayList<>();

    /** Holders that sent a fence number, by matter and number. */
    final Map<String, List<String>> holdersByToken = new TreeMap<>();

    private final Map<String, Long> highestToken = new HashMap<>();
    volatile String lastUsageHolder = "";
    volatile long lastUsageWindow = -1;

    /** One topic: the records still held begin at offset first. */
    private static final class Topic {
        long first;
        List<byte[]> records = new ArrayList<>();
        List<Long> times = new ArrayList<>();
        Map<String, Object[]> newest = new LinkedHashMap<>();

        Topic copy() {
            Topic copy = new Topic();
            copy.first = first;
            copy.records = new ArrayList<>(records);
            copy.times = new ArrayList<>(times);
            copy.newest = new LinkedHashMap<>(newest);
            return copy;
        }

        long end() {
            return first + records.size();
        }
    }

    /** All that the store holds, so that a copy of it can be put back. */
    private static final class State {
        final Map<String, Topic> topics = new HashMap<>();
        final Map<String, Long> memberExpiry = new LinkedHashMap<>();
        long generation;
        String holder = "";

        State copy() {
            State copy = new State();
            topics.forEach((name, topic) -> copy.topics.put(name, topic.copy()));
            copy.memberExpiry.putAll(memberExpiry);
            copy.generation = generation;
            copy.holder = holder;
            return copy;
        }
    }

    Platform(Record record, long keepMillis) throws IOException {
        this.record = record;
        this.keepMillis = keepMillis;
        View all = new View(Map.of());
        store = Http.serve("127.0.0.1", 0, exchange -> handleStore(exchange, all));
        cloud = Http.serve("127.0.0.1", 0, this::handleCloud);
    }

    String storeAddress() {
        return "127.0.0.1:" + store.getAddress().getPort();
    }

    String cloudAddress() {
        return "127.0.0.1:" + cloud.getAddress().getPort();
    }

    /** The store as one machine sees it: by paths of its own to the runners, and perhaps turned away. */
    final class View {
        private final Map<String, String> addresses;
        private volatile boolean refuses;
        private HttpServer server;

        private View(Map<String, String> addresses) {
            this.addresses = addresses;
        }

        String address() {
            return "127.0.0.1:" + server.getAddress().getPort();
        }

        /** Turns the machine away with 503, or serves it again. */
        void refuse(boolean refusing) {
            record.line("store " + (refusing ? "turns the machine away that sees " : "serves again ") + addresses);
            refuses = refusing;
            synchronized (Platform.this) {
                Platform.this.notifyAll();
            }
        }

        private byte[] shown(byte[] content) {
            String text = new String(content, StandardCharsets.ISO_8859_1);
            for (Map.Entry<String, String> address : addresses.entrySet()) {
                text = text.replace(address.getKey() + "\"", address.getValue() + "\"");
            }
            return text.getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    /** Opens another address of the store, at which runners are listed with other addresses. */
    View view(Map<String, String> addresses) throws IOException {
        View view = new View(addresses);
        view.server = Http.serve("127.0.0.1", 0, exchange -> handleStore(exchange, view));
        return view;
    }

    // What the operator, the runners and the scripts do.

    synchronized void put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] content = value.getBytes(StandardCharsets.UTF_8);
        append(
                topic,
                ByteBuffer.allocate(1 + name.length + content.length)
                        .put((byte) name.length)
                        .put(name)
                        .put(content)
                        .array());
        notifyAll();
    }

    synchronized Object copyOfNow() {
        return state.copy();
    }

    synchronized void setDown(boolean isDown) {
        down = isDown;
        record.line("store " + (isDown ? "away" : "back"));
        notifyAll();
    }

    /**
     * Puts a copy back, raises the era, and writes again what the operator and the runners wrote since. The leases of
     * the group have run out meanwhile; its partitions are dealt to other members.
     */
    synchronized void restore(Object copy, boolean leasesRunOut) {
        State before = state;
        state = ((State) copy).copy();
        era++;
        for (String topic : List.of("keyed.op", "keyed.servers")) {
            before.topics.getOrDefault(topic, new Topic()).newest.forEach((key, entry) -> append(topic, (byte[])
                    entry[1]));
        }
        if (leasesRunOut) {
            shunned = state.holder;
            state.memberExpiry.clear();
            state.holder = "";
            state.generation++;
        }
        record.line("store restored from a copy, era " + era + ", generation " + state.generation);
        notifyAll();
    }

    synchronized String holder() {
        return state.holder;
    }

    private void append(String name, byte[] content) {
        Topic topic = topic(name);
        if (name.startsWith("keyed.")) {
            int length = content[0] & 0xff;
            String key = new String(content, 1, length, StandardCharsets.UTF_8);
            topic.newest.remove(key);
            if (content.length > 1 + length) {
                topic.newest.put(key, new Object[] {topic.end(), content});
            }
        }
        topic.records.add(content);
        topic.times.add(System.currentTimeMillis());
    }

    private Topic topic(String name) {
        Topic topic = state.topics.computeIfAbsent(name, key -> new Topic());
        while (!topic.times.isEmpty() && topic.times.get(0) < System.currentTimeMillis() - keepMillis) {
            topic.times.remove(0);
            topic.records.remove(0);
            topic.first++;
        }
        return topic;
    }

    private void handleStore(HttpExchange exchange, View view) throws IOException {
        Map<String, String> query = Http.query(exchange);
        byte[] body = exchange.getRequestBody().readAllBytes();
        int status = 200;
        byte[] raw = null;
        Object json = Map.of();
        synchronized (this) {
            if (down || view.refuses) {
                status = 503;
            } else {
                switch (exchange.getRequestURI().getPath()) {
                    case "/log-append" -> {
                        Topic topic = topic(query.get("Topic"));
                        long offset = topic.end();
                        ByteBuffer records = ByteBuffer.wrap(body);
                        while (records.hasRemaining()) {
                            byte[] content = new byte[records.getInt()];
                            records.get(content);
                            append(query.get("Topic"), content);
                        }
                        notifyAll();
                        json = Map.of("Offset", offset, "EndOffset", topic.end());
                    }
                    case "/log-read" -> {
                        long from = Long.parseLong(query.get("From"));
                        long until = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("WaitMs", "0"));
                        long begun = era;
                        while (!down
                                && !view.refuses
                                && era == begun
                                && topic(query.get("Topic")).end() == from
                                && System.currentTimeMillis() < until) {
                            try {
                                wait(Math.max(1, until - System.currentTimeMillis()));
                            } catch (InterruptedException exception) {
                                return;
                            }
                        }
                        Topic topic = topic(query.get("Topic"));
                        if (down || view.refuses || era != begun) {
                            status = 503;
                        } else if (from < topic.first || from > topic.end()) {
                            status = 410;
                            json = Map.of("FirstOffset", topic.first);
                        } else {
                            raw = page(topic, from, view);
                        }
                    }
                    case "/log-newest" -> {
                        List<Object> items = new ArrayList<>();
                        Topic topic = topic(query.get("Topic"));
                        topic.newest.forEach((key, entry) -> {
                            byte[] content = view.shown((byte[]) entry[1]);
                            int length = 1 + (content[0] & 0xff);
                            byte[] value = java.util.Arrays.copyOfRange(content, length, content.length);
                            items.add(Map.of(
                                    "Key", key, "Value", Base64.getEncoder().encodeToString(value), "Offset", entry[0]));
                        });
                        json = Map.of("items", items, "HasMore", false, "EndOffset", topic.end());
                    }
                    case "/log-join" -> json = join(Json.object(new String(body, StandardCharsets.UTF_8)));
                    case "/log-leave" -> leave((String)
                            Json.object(new String(body, StandardCharsets.UTF_8)).get("Member"));
                    default -> status = 400;
                }
            }
            exchange.getResponseHeaders().set("Store-Era", Long.toString(era));
        }
        if (raw != null) {
            Http.answer(exchange, 200, "application/octet-stream", raw);
        } else {
            Http.json(exchange, status, json);
        }
    }

    private static byte[] page(Topic topic, long from, View view) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream data = new DataOutputStream(bytes);
        data.writeLong(topic.end());
        data.writeLong(topic.first);
        for (byte[] record : topic.records.subList((int) (from - topic.first), topic.records.size())) {
            byte[] content = view.shown(record);
            data.writeInt(content.length);
            data.write(content);
        }
        return bytes.toByteArray();
    }

    private Map<String, Object> join(Map<String, Object> call) {
        long now = System.currentTimeMillis();
        String member = (String) call.get("Member");
        expire(now);
        boolean joins = state.memberExpiry.put(member, now + Json.number(call.get("TtlMs"))) == null;
        if (joins) {
            state.generation++;
        }
        deal();
        List<Object> parts = new ArrayList<>();
        List<String> members = List.copyOf(state.memberExpiry.keySet());
        for (int part = 0; part < PARTITIONS; part++) {
            // Partition 0 stays where it is; the others are spread evenly.
            String owner = part == 0 ? state.holder : members.get(part % members.size());
            if (owner.equals(member)) {
                parts.add(List.of("duties", part, 0));
            }
        }
        return Map.of("Generation", state.generation, "TtlMs", call.get("TtlMs"), "parts", parts);
    }

    private void expire(long now) {
        if (state.memberExpiry.values().removeIf(expiry -> expiry < now)) {
            state.generation++;
        }
        if (!state.memberExpiry.containsKey(state.holder)) {
            state.holder = "";
        }
    }

    private void leave(String member) {
        if (state.memberExpiry.remove(member) != null) {
            state.generation++;
            record.line("store: " + member + " left the group");
        }
        if (state.holder.equals(member)) {
            state.holder = "";
            deal();
        }
    }

    private void deal() {
        if (!state.holder.isEmpty()) {
            return;
        }
        for (String member : state.memberExpiry.keySet()) {
            if (!member.equals(shunned)) {
                state.generation++;
                state.holder = member;
                shunned = "";
                record.line("store: duties to " + member + ", generation " + state.generation);
                return;
            }
        }
    }

    private void handleCloud(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Map<String, Object> call = Json.object(body);
        String holder = exchange.getRequestHeaders().getFirst("X-Ragwortpitch-Lease-Holder");
        long token = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Ragwortpitch-Fencing-Token"));
        String path = exchange.getRequestURI().getPath();
        String subject = path + (path.equals("/scale") ? " " + call.get("Service") + " " + call.get("Zone") : "");
        int status;
        synchronized (this) {
            long highest = highestToken.getOrDefault(subject, 0L);
            status = token < highest ? 409 : 200;
            record.line("cloud: " + subject + " " + body + " by " + holder + " token " + token + " -> " + status);
            List<String> holders = holdersByToken.computeIfAbsent(subject + " " + token, key -> new ArrayList<>());
            if (!holders.contains(holder)) {
                holders.add(holder);
            }
            if (status == 200) {
                highestToken.put(subject, token);
                dutyCalls.add(subject + " " + holder + " " + token);
                if (path.equals("/usage")) {
                    String counts = new TreeMap<>(counts(call)).toString();
                    List<String> reports =
                            usage.computeIfAbsent(Json.number(call.get("Window")), window -> new ArrayList<>());
                    if (!reports.contains(counts)) {
                        reports.add(counts);
                    }
                    lastUsageHolder = holder;
                    lastUsageWindow = Json.number(call.get("Window"));
                }
            }
        }
        Http.json(exchange, status, Map.of());
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> counts(Map<String, Object> call) {
        return (Map<String, Object>) call.get("Counts");
    }

    /** Returns how rule ONE was broken, by duty calls; empty if it was kept. */
    synchronized List<String> brokenOne() {
        List<String> broken = new ArrayList<>();
        usage.forEach((window, reports) -> {
            if (reports.size() > 1) {
                broken.add("ONE: accepted usage reports of window " + window + " with different counts: " + reports);
            }
        });
        holdersByToken.forEach((matter, holders) -> {
            if (holders.size() > 1) {
                broken.add("ONE: fence number sent by two holders, " + matter + ": " + holders);
            }
        });
        return broken;
    }

    @Override
    public void close() {
        store.stop(0);
        cloud.stop(0);
    }
}
