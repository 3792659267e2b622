import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's store and its API: topics with one partition, one group whose oldest live member has all partitions,
 * and duty calls. Where it checks fence numbers, it refuses a call with a lower one than it has seen.
 */
final class Platform implements AutoCloseable {

    /** A call of a singleton duty. */
    record DutyCall(long atMillis, String path, String holder, long fence, String body, int status) {}

    private final ServerSocket server;
    private final boolean fenced;
    private final Map<String, List<byte[]>> topics = new HashMap<>();
    private final Map<String, Long> members = new LinkedHashMap<>();
    private final List<DutyCall> duties = new ArrayList<>();
    private final Map<String, Long> fences = new HashMap<>();
    private final Map<Integer, Map<Long, Long>> serverReads = new HashMap<>();
    private String holder = "";
    private long generation;
    private String downTopic = "";
    private final Map<String, List<Long>> writtenMillis = new HashMap<>();
    private int era = 1;
    private boolean away;

    /**
     * Starts the platform.
     *
     * @param fenced whether it checks fence numbers
     */
    Platform(boolean fenced) throws IOException {
        this.fenced = fenced;
        server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        Threads.start(() -> Threads.accept(server, socket -> serve(socket, server.getLocalPort(), Map.of())));
    }

    /**
     * Opens another port of the store, at which servers are listed with other ports, so that a machine reaches them by
     * links of its own.
     *
     * @param ports for each port of a server, the one that is listed instead
     */
    int view(Map<Integer, Integer> ports) throws IOException {
        ServerSocket view = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        Threads.start(() -> Threads.accept(view, socket -> serve(socket, view.getLocalPort(), ports)));
        return view.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    int port() {
        return server.getLocalPort();
    }

    /** Answers 503 to all calls that name a topic, whose partition is down; an empty name stands for none. */
    synchronized void down(String topic) {
        downTopic = topic;
    }

    private synchronized boolean isDown(String topic) {
        return away || !downTopic.isEmpty() && downTopic.equals(topic);
    }

    private void recordWritten(String topic) {
        writtenMillis.computeIfAbsent(topic, key -> new ArrayList<>()).add(Threads.millis());
    }

    /** Answers 503 to all calls until the store comes back. */
    synchronized void leave() {
        away = true;
    }

    /**
     * Comes back from an older copy, with the next era: what was written since is gone, and all members have expired.
     *
     * @return what the servers have written since, which they write again
     */
    synchronized List<byte[]> comeBack(long copyAgeMillis) {
        long copied = Threads.millis() - copyAgeMillis;
        List<byte[]> lost = new ArrayList<>();
        topics.forEach((topic, records) -> {
            List<Long> times = writtenMillis.getOrDefault(topic, List.of());
            while (!times.isEmpty() && times.get(times.size() - 1) > copied) {
                times.remove(times.size() - 1);
                byte[] record = records.remove(records.size() - 1);
                if (topic.equals("keyed.servers")) {
                    lost.add(0, record);
                }
            }
        });
        members.clear();
        era++;
        away = false;
        notifyAll();
        return lost;
    }

    /** Writes a record of the servers' topic again. */
    synchronized void writeAgain(byte[] record) {
        topic("keyed.servers").add(record);
        recordWritten("keyed.servers");
        notifyAll();
    }

    private synchronized Map<String, String> headers() {
        return Map.of("Content-Type", "application/json", "Store-Era", Integer.toString(era));
    }

    /** Returns when a record of the servers' topic was first read at a port of the store; empty if it was not. */
    synchronized Optional<Long> readMillis(int view, long offset) {
        return Optional.ofNullable(serverReads.getOrDefault(view, Map.of()).get(offset));
    }

    /**
     * Writes a record of a keyed topic, as the operator and the servers do; without a value, the key is dropped.
     *
     * @return the record's offset
     */
    synchronized long put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] content = value.getBytes(StandardCharsets.UTF_8);
        topic(topic)
                .add(ByteBuffer.allocate(1 + name.length + content.length)
                        .put((byte) name.length)
                        .put(name)
                        .put(content)
                        .array());
        recordWritten(topic);
        notifyAll();
        return topic(topic).size() - 1;
    }

    synchronized List<DutyCall> duties() {
        return List.copyOf(duties);
    }

    synchronized boolean hasReportOf(String holder) {
        return duties.stream().anyMatch(call -> call.holder().equals(holder));
    }

    synchronized boolean hasReportOfOther(String holder) {
        return duties.stream().anyMatch(call -> !call.holder().equals(holder));
    }

    private List<byte[]> topic(String name) {
        return topics.computeIfAbsent(name, key -> new ArrayList<>());
    }

    private void serve(Socket socket, int view, Map<Integer, Integer> ports) throws IOException {
        socket.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
            answer(request, out, view, ports);
        }
    }

    private void answer(Http.Message request, OutputStream out, int view, Map<Integer, Integer> ports)
            throws IOException {
        String target = request.word(1);
        int mark = target.indexOf('?');
        String path = mark < 0 ? target : target.substring(0, mark);
        Map<String, String> query = new TreeMap<>();
        for (String field : (mark < 0 ? "" : target.substring(mark + 1)).split("&")) {
            int equals = field.indexOf('=');
            if (equals > 0) {
                query.put(
                        field.substring(0, equals),
                        URLDecoder.decode(field.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        if (isDown(query.get("Topic"))) {
            json(out, 503, "{}");
            return;
        }
        switch (path) {
            case "/log-newest" -> json(out, 200, newest(query.get("Topic"), ports));
            case "/log-append" -> json(out, 200, append(query.get("Topic"), request.body()));
            case "/log-join" -> json(out, 200, join(request.text()));
            case "/log-leave" -> json(out, 200, leave(request.text()));
            case "/log-read" -> {
                byte[] page = read(
                        query.get("Topic"),
                        Integer.parseInt(query.get("From")),
                        Long.parseLong(query.getOrDefault("WaitMs", "0")),
                        view,
                        ports);
                if (isDown(query.get("Topic"))) {
                    json(out, 503, "{}");
                } else if (page.length == 0) {
                    json(out, 410, "{\"FirstOffset\":0}");
                } else {
                    Http.write(out, "HTTP/1.1 200 OK", headers(), page);
                }
            }
            default -> json(out, duty(path, request), "{}");
        }
    }

    private void json(OutputStream out, int status, String body) throws IOException {
        Http.write(out, "HTTP/1.1 " + status + " Status", headers(), body.getBytes(StandardCharsets.UTF_8));
    }

    private synchronized String newest(String topic, Map<Integer, Integer> ports) {
        Map<String, String> items = new LinkedHashMap<>();
        List<byte[]> records = topic(topic);
        for (int offset = 0; offset < records.size(); offset++) {
            byte[] record = seen(topic, records.get(offset), ports);
            String key = new String(record, 1, record[0] & 0xff, StandardCharsets.UTF_8);
            int start = 1 + (record[0] & 0xff);
            items.remove(key);
            if (record.length > start) {
                String value = Base64.getEncoder()
                        .encodeToString(java.util.Arrays.copyOfRange(record, start, record.length));
                items.put(key, "{\"Key\":\"" + key + "\",\"Value\":\"" + value + "\",\"Offset\":" + offset + "}");
            }
        }
        return "{\"items\":[" + String.join(",", items.values()) + "],\"HasMore\":false,\"EndOffset\":"
                + records.size() + "}";
    }

    /** Returns a record as it is seen at a port of the store. */
    private static byte[] seen(String topic, byte[] record, Map<Integer, Integer> ports) {
        if (!topic.equals("keyed.servers") || ports.isEmpty()) {
            return record;
        }
        String text = new String(record, StandardCharsets.ISO_8859_1);
        for (Map.Entry<Integer, Integer> port : ports.entrySet()) {
            text = text.replace("127.0.0.1:" + port.getKey() + "\"", "127.0.0.1:" + port.getValue() + "\"");
        }
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private synchronized String append(String topic, byte[] body) {
        List<byte[]> records = topic(topic);
        int offset = records.size();
        ByteBuffer buffer = ByteBuffer.wrap(body);
        while (buffer.hasRemaining()) {
            byte[] record = new byte[buffer.getInt()];
            buffer.get(record);
            records.add(record);
            recordWritten(topic);
        }
        notifyAll();
        return "{\"Offset\":" + offset + ",\"EndOffset\":" + records.size() + "}";
    }

    private synchronized byte[] read(
            String topic, int from, long waitMillis, int view, Map<Integer, Integer> ports) throws IOException {
        long until = Threads.millis() + waitMillis;
        try {
            for (long left = waitMillis; topic(topic).size() <= from && left > 0 && !away; left = until - Threads.millis()) {
                wait(left);
            }
        } catch (InterruptedException exception) {
            throw new IOException(exception);
        }
        List<byte[]> records = topic(topic);
        if (from > records.size()) {
            // An offset that the store doesn't have, as it has come back from an older copy.
            return new byte[0];
        }
        if (topic.equals("keyed.servers") && !away) {
            for (long offset = from; offset < records.size(); offset++) {
                serverReads.computeIfAbsent(view, key -> new HashMap<>()).putIfAbsent(offset, Threads.millis());
            }
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        DataOutputStream data = new DataOutputStream(body);
        data.writeLong(records.size());
        data.writeLong(0);
        for (byte[] record : records.subList(Math.min(from, records.size()), records.size())) {
            byte[] seen = seen(topic, record, ports);
            data.writeInt(seen.length);
            data.write(seen);
        }
        return body.toByteArray();
    }

    private synchronized String join(String body) {
        String member = field(body, "Member");
        long now = Threads.millis();
        if (!members.containsKey(member)) {
            generation++;
        }
        members.put(member, now + Long.parseLong(field(body, "TtlMs")));
        if (members.values().removeIf(until -> until < now)) {
            generation++;
        }
        if (!members.containsKey(holder)) {
            holder = members.keySet().iterator().next();
            generation++;
        }
        return "{\"Generation\":" + generation + ",\"parts\":["
                + (member.equals(holder) ? "[\"duties\",0,0]" : "") + "]}";
    }

    private synchronized String leave(String body) {
        if (members.remove(field(body, "Member")) != null) {
            generation++;
        }
        return "{}";
    }

    private synchronized int duty(String path, Http.Message request) {
        String subject = path.equals("/usage") ? path : path + field(request.text(), "Service") + field(request.text(), "Zone");
        long fence = Long.parseLong(request.headers().getOrDefault("x-ragwortpitch-fencing-token", "-1"));
        int status = fenced && fence < fences.getOrDefault(subject, 0L) ? 409 : 200;
        fences.merge(subject, fence, Math::max);
        duties.add(new DutyCall(
                Threads.millis(), path, request.header("x-ragwortpitch-lease-holder"), fence, request.text(), status));
        return status;
    }

    private static String field(String json, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\"?([^\",}]*)").matcher(json);
        return matcher.find() ? matcher.group(1) : "";
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
