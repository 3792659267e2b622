package org.ragwortpitch.edge.peer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * News that are told in each datagram of one round, so that every daemon gets them once. Confined to one thread.
 *
 * @param <T> the news
 */
public final class Retold<T> {

    private final int most;
    private final Deque<Told<T>> told = new ArrayDeque<>();

    /**
     * Knows no news yet.
     *
     * @param most the news that are kept; older ones go
     */
    public Retold(int most) {
        this.most = most;
    }

    /**
     * Notes news.
     */
    public void add(T news) {
        if (told.size() == most) {
            told.removeFirst();
        }
        told.addLast(new Told<>(news, 0));
    }

    /**
     * Tells the news for the next datagrams.
     *
     * @param times how often each is told
     */
    public List<T> next(int times) {
        List<T> news = new ArrayList<>();
        for (int left = told.size(); left > 0; left--) {
            Told<T> next = told.removeFirst();
            news.add(next.news());
            if (next.times() + 1 < times) {
                told.addLast(new Told<>(next.news(), next.times() + 1));
            }
        }
        return news;
    }

    /**
     * News, and how often they were told.
     */
    private record Told<T>(T news, int times) {}
}
