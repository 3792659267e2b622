package org.ragwortpitch.edge.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.closing.Closer;

/**
 * Engines that answer the sends of an attempt with the scripts set for it, one after the other, whichever engine gets
 * the request. Without a script left, an engine streams the events that the request still lacks.
 */
public final class ScriptedEngines implements AutoCloseable {

    private static final int EVENTS = 5;

    private static final Pattern ATTEMPT = Pattern.compile("(?i)" + Headers.ATTEMPT + ": *(\\S+)");

    private static final Pattern LAST_EVENT = Pattern.compile("(?i)" + Headers.LAST_EVENT + ": *(\\d+)");

    private final Closer closer = new Closer();
    private final Map<String, Deque<String>> scripts = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> sends = new ConcurrentHashMap<>();
    private final List<ScriptedPeer> engines;

    public ScriptedEngines(int count) throws IOException {
        ScriptedPeer[] peers = new ScriptedPeer[count];
        for (int index = 0; index < count; index++) {
            peers[index] = closer.add(new ScriptedPeer(this::scriptFor));
        }
        engines = List.of(peers);
    }

    /**
     * Returns the events of a whole stream between two ids, both included.
     */
    public static String events(int first, int last) {
        StringBuilder events = new StringBuilder();
        for (int id = first; id <= last; id++) {
            events.append(event(id));
        }
        return events.toString();
    }

    /**
     * Returns all events of a whole stream after one of them; 0 for the whole stream.
     */
    public static String eventsAfter(int id) {
        return events(id + 1, EVENTS);
    }

    private static String event(int id) {
        return "id: " + id + "\ndata: piece " + id + "\n\n";
    }

    /**
     * Returns content as one chunk of a chunked body.
     */
    public static String chunk(String content) {
        return Integer.toHexString(content.getBytes(StandardCharsets.ISO_8859_1).length) + "\r\n" + content + "\r\n";
    }

    /**
     * Sets the answers to the sends of an attempt.
     */
    public void play(String attempt, String... answers) {
        scripts.put(attempt, new ArrayDeque<>(List.of(answers)));
    }

    /**
     * Returns how many times an attempt was sent to the engines.
     */
    public int sends(String attempt) {
        return sends.getOrDefault(attempt, new AtomicInteger()).get();
    }

    /**
     * Returns the addresses of the engines.
     */
    public List<String> addresses() {
        return engines.stream().map(ScriptedPeer::address).toList();
    }

    /**
     * Adds their entries to the store's endpoints topic.
     */
    public void list(StandinStore store, String pool) {
        for (int index = 0; index < engines.size(); index++) {
            String entry = "{\"Service\":\"" + pool + "\",\"Address\":\""
                    + engines.get(index).address()
                    + "\",\"Version\":\"v1\",\"Zone\":\"a\",\"Slots\":64,\"State\":\"ready\",\"Stage\":\"decode\","
                    + "\"Sequence\":1,\"born\":1}";
            store.put("keyed.servers", "servers/e-" + (index + 1), entry);
        }
    }

    private String scriptFor(String request) {
        Matcher attempt = ATTEMPT.matcher(request);
        if (!attempt.find()) {
            return "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
        }
        String id = attempt.group(1);
        sends.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
        Deque<String> answers = scripts.getOrDefault(id, new ArrayDeque<>());
        synchronized (answers) {
            return answers.isEmpty() ? rest(request) : answers.remove();
        }
    }

    private static String rest(String request) {
        Matcher last = LAST_EVENT.matcher(request);
        String events = eventsAfter(last.find() ? Integer.parseInt(last.group(1)) : 0);
        return new EngineResponse(200, true, EngineResponse.EVENT_STREAM, EngineResponse.Framing.CHUNKED, events)
                .script();
    }

    @Override
    public void close() {
        closer.close();
    }
}
