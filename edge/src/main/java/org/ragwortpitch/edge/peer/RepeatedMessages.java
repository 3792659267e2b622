package org.ragwortpitch.edge.peer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Queue of messages that are repeated in each step of one gossip round, so that every daemon receives them once.
 * Confined to one thread.
 *
 * @param <T> the type of a message
 */
public final class RepeatedMessages<T> {

    private final int capacity;
    private final Deque<Entry<T>> entries = new ArrayDeque<>();

    /**
     * Creates an empty queue.
     *
     * @param capacity most messages that are queued; beyond it, the oldest are dropped
     */
    public RepeatedMessages(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Queues a message.
     */
    public void add(T message) {
        if (entries.size() == capacity) {
            entries.removeFirst();
        }
        entries.addLast(new Entry<>(message, 0));
    }

    /**
     * Returns the messages for the next step's datagrams.
     *
     * @param sends number of steps in which each message is sent
     */
    public List<T> nextBatch(int sends) {
        List<T> messages = new ArrayList<>();
        for (int left = entries.size(); left > 0; left--) {
            Entry<T> next = entries.removeFirst();
            messages.add(next.message());
            if (next.sends() + 1 < sends) {
                entries.addLast(new Entry<>(next.message(), next.sends() + 1));
            }
        }
        return messages;
    }

    /**
     * A message, and in how many steps it was sent.
     */
    private record Entry<T>(T message, int sends) {}
}
