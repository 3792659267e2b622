package org.ragwortpitch.duty;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * Members of the duties' group whose process has stopped for good. Each daemon tells the others of those it knows, and
 * the daemons that read the store closely make them leave the group once the store answers. Confined to one thread.
 */
public final class DepartedMembers {

    /** Most members remembered; they are remembered after their end, so that late gossip doesn't revive them. */
    private static final int MAX_KNOWN = 256;

    /** Most members told in one datagram, about 1 KB of names. */
    private static final int MAX_TOLD = 32;

    /**
     * Time for which the store has to answer this daemon before a member counts as gone from the group, in
     * milliseconds: three times to live of a silent member.
     */
    private static final long GONE_MILLIS = 9_000;

    /** Names are those of daemons, followed by the start time of the incarnation. */
    private static final Pattern NAME = Pattern.compile("\\S{1,200}-\\d{1,19}");

    private final Map<String, Departure> known = new LinkedHashMap<>();

    /**
     * Learns that a member has departed.
     *
     * @return whether that is news; false for a text that is no member's name
     */
    public boolean learn(String member, long nowMillis) {
        if (known.containsKey(member) || !NAME.matcher(member).matches()) {
            return false;
        }
        known.put(member, new Departure(nowMillis, false, false));
        if (known.size() > MAX_KNOWN) {
            known.remove(known.keySet().iterator().next());
        }
        return true;
    }

    /**
     * Records that the store has answered a call by which the member leaves the group.
     */
    public void recordLeft(String member) {
        known.computeIfPresent(member, (name, departure) -> departure.asLeft());
    }

    /**
     * Stops telling of members that are gone from the group by now, as they have left it or their time has run out.
     *
     * @param reachableForMillis how long the store has answered this daemon without a failure, in milliseconds
     */
    public void expire(long reachableForMillis, long nowMillis) {
        if (reachableForMillis >= GONE_MILLIS) {
            known.replaceAll((name, departure) ->
                    nowMillis - departure.learnedMillis >= GONE_MILLIS ? departure.asGone() : departure);
        }
    }

    /**
     * Returns the members to tell the other daemons of.
     */
    public List<String> told() {
        List<String> told = known.entrySet().stream()
                .filter(member -> !member.getValue().gone)
                .map(Map.Entry::getKey)
                .toList();
        return told.subList(Math.max(0, told.size() - MAX_TOLD), told.size());
    }

    /**
     * Returns a time at which the process of a member had ended; empty if it is not known to have ended.
     */
    public OptionalLong endedMillis(String member) {
        Departure departure = known.get(member);
        return departure == null ? OptionalLong.empty() : OptionalLong.of(departure.learnedMillis);
    }

    /**
     * Returns the members that may still be in the group.
     */
    public List<String> toLeave() {
        return known.entrySet().stream()
                .filter(member -> !member.getValue().gone && !member.getValue().left)
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * What is known of a departed member.
     *
     * @param learnedMillis when this daemon learned of it; the member's process had ended its duties before
     * @param left          whether the store has answered that it has left
     * @param gone          whether it need not be told of any more
     */
    private record Departure(long learnedMillis, boolean left, boolean gone) {

        Departure asLeft() {
            return new Departure(learnedMillis, true, gone);
        }

        Departure asGone() {
            return new Departure(learnedMillis, left, true);
        }
    }
}
