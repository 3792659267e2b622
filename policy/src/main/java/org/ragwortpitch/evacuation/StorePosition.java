package org.ragwortpitch.evacuation;

/**
 * A position in a topic of the store. Offsets are given again in a new era, so the era counts first.
 *
 * @param era    how many times the store has come back from an older copy
 * @param offset the offset in that era's topic
 */
public record StorePosition(long era, long offset) implements Comparable<StorePosition> {

    @Override
    public int compareTo(StorePosition other) {
        return era == other.era ? Long.compare(offset, other.offset) : Long.compare(era, other.era);
    }

    boolean isBefore(StorePosition other) {
        return compareTo(other) < 0;
    }
}
