package org.ragwortpitch.edge.standin;

import java.util.HashMap;
import java.util.Map;

/**
 * The members of the duties' group, of whom one has the duties. Confined to one thread.
 */
final class StandinGroup {

    private static final long TTL_MILLIS = 3_000;

    private final Map<String, Long> memberExpiryMillis = new HashMap<>();
    private String holder = "";
    private String passedOver = "";
    private long generation;

    /**
     * Adds or renews a member.
     *
     * @return whether it has the duties
     */
    boolean join(String member, long ttlMillis) {
        long now = TestEventLoop.CLOCK_MILLIS.getAsLong();
        memberExpiryMillis.put(member, now + ttlMillis);
        memberExpiryMillis.values().removeIf(expiry -> expiry < now);
        if (!memberExpiryMillis.containsKey(holder) && !passedOver.equals(member)) {
            holder = member;
            passedOver = "";
            generation++;
        }
        return member.equals(holder);
    }

    void leave(String member) {
        memberExpiryMillis.remove(member);
    }

    /**
     * Assigns the duties to another member than before.
     *
     * @return the member that had them; empty if none had
     */
    String passOn() {
        passedOver = holder;
        holder = "";
        return passedOver;
    }

    /**
     * Forgets all members and goes back to an earlier generation; the duties go to another member than before.
     *
     * @return the member that had them; empty if none had
     */
    String restore(long earlierGeneration) {
        generation = earlierGeneration;
        memberExpiryMillis.clear();
        return passOn();
    }

    /**
     * Gives all members their whole time to live.
     */
    void renewAll() {
        memberExpiryMillis.replaceAll((member, expiry) -> TestEventLoop.CLOCK_MILLIS.getAsLong() + TTL_MILLIS);
    }

    /**
     * Returns the member that has the duties or had them last; empty if none did since they were passed on.
     */
    String holder() {
        return holder;
    }

    long generation() {
        return generation;
    }
}
