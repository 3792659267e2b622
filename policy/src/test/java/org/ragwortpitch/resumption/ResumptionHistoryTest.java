package org.ragwortpitch.resumption;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.identity.SoftwareVersion;

/**
 * Guards against streams that go on at another software version than the one that began them, and against a fleet that
 * refuses most streams instead, while versions come and go, daemons restart, stand still, lose gossip and are cut off
 * from the store, from each other, or from both, and answers of the store are delayed.
 */
class ResumptionHistoryTest {

    private static final int STEP_MILLIS = 25;

    private static final int HISTORY_MILLIS = 60_000;

    private static final int GOSSIP_ROUND_STEPS = 8;

    private static final double MESSAGE_LOSS_RATIO = 0.05;

    private static final int READ_MILLIS = 1_300;

    /** How long daemons leave an engine alone that is new in the list. */
    private static final int SETTLING_MILLIS = 1_500;

    private static final int CONTACT_MILLIS = 3_000;

    private static final int MAX_WAIT_MILLIS = 300;

    /** Streams of two versions in one history above which it shows a fault; a control has more. */
    private static final int MAX_MIXED = 0;

    /** Share of the streams by which two sets of random histories may differ. */
    private static final double ROUNDING = 0.01;

    /** Longest that an answer of the store may take on its way, in milliseconds. */
    private static final int MAX_DELAY_MILLIS = 3_000;

    @ParameterizedTest
    @CsvSource({"1, 40, 7", "1001, 20, 16", "2001, 40, 2"})
    void testStreamsGoOnAtTheirVersion(long firstSeed, int historyCount, int daemons) {
        for (long seed = firstSeed; seed < firstSeed + historyCount; seed++) {
            History history = new History(seed, daemons, true, Rule.READ_AFTER_ARRIVAL);
            history.run();
            assertTrue(history.mixed <= MAX_MIXED, "seed " + seed + ": " + history.mixed + " streams mixed");
            assertTrue(
                    2 * history.wentOn >= history.takenUp,
                    "seed " + seed + ": " + history.wentOn + " of " + history.takenUp + " streams went on");
        }
    }

    /** Shows that the histories are hard enough: daemons that take any version for an unknown one mix streams. */
    @Test
    void testDaemonsThatGuessMixStreams() {
        History history = new History(1, 7, false, Rule.GUESS);
        history.run();
        assertTrue(history.mixed > MAX_MIXED, history.mixed + " streams mixed");
    }

    /** Shows that gossip is needed: daemons that know only their own streams refuse most of the others. */
    @Test
    void testDaemonsThatDoNotTellRefuseStreams() {
        History history = new History(1, 7, false, Rule.READ_AFTER_ARRIVAL);
        history.run();
        assertTrue(2 * history.wentOn < history.takenUp, history.wentOn + " of " + history.takenUp + " went on");
        assertEquals(0, history.mixed, "streams mixed");
    }

    /**
     * Shows that a daemon out of step mixes streams if it takes a reading for current that was handled, but not sent, a
     * short while ago; and guards against safety that is bought by refusing streams which would go on so.
     */
    @Test
    void testDaemonsThatStampReadingsWhenTheyHandleThemMixStreamsAndLetNoMoreGoOn() {
        List<History> lately = histories(Rule.HANDLED_LATELY);
        List<History> anew = histories(Rule.READ_AFTER_ARRIVAL);
        assertTrue(lately.stream().anyMatch(history -> history.mixed > MAX_MIXED), "no stream mixed");
        double share = shareThatWentOn(anew);
        assertTrue(share >= shareThatWentOn(lately) - ROUNDING, share + " of the streams go on");
    }

    private static List<History> histories(Rule rule) {
        List<History> histories = LongStream.rangeClosed(1, 40)
                .mapToObj(seed -> new History(seed, 7, true, rule))
                .toList();
        histories.forEach(History::run);
        return histories;
    }

    private static double shareThatWentOn(List<History> histories) {
        int wentOn = histories.stream().mapToInt(history -> history.wentOn).sum();
        return (double) wentOn
                / histories.stream().mapToInt(history -> history.takenUp).sum();
    }

    /** How a daemon finds the version of a stream whose origin it doesn't know. */
    private enum Rule {
        /** Takes the only version of a reading that was sent after the attempt had arrived. */
        READ_AFTER_ARRIVAL,
        /** Takes the only version of a reading that was handled within the last three seconds. */
        HANDLED_LATELY,
        /** Takes any listed version. */
        GUESS
    }

    /** One random history. */
    private static final class History {

        private final Random random;
        private final boolean gossip;
        private final Rule rule;
        private final long firstChangeMillis;
        private final List<Member> members = new ArrayList<>();
        private final List<Message> messages = new ArrayList<>();
        private final List<SoftwareVersion> listings = new ArrayList<>(List.of(new SoftwareVersion("v1")));
        private final Map<SoftwareVersion, Long> servingSinceMillis =
                new TreeMap<>((one, other) -> one.value().compareTo(other.value()));
        private final List<Attempt> attempts = new ArrayList<>();
        private long nowMillis;
        private int streams;
        private int mixed;
        private int takenUp;
        private int wentOn;

        History(long seed, int daemons, boolean gossip, Rule rule) {
            this.random = new Random(seed);
            this.gossip = gossip;
            this.rule = rule;
            this.firstChangeMillis = random.nextBoolean() ? 6_000 : 18_000;
            for (int daemon = 0; daemon < daemons; daemon++) {
                members.add(new Member(true));
            }
        }

        void run() {
            servingSinceMillis.put(new SoftwareVersion("v1"), -(long) SETTLING_MILLIS);
            for (int step = 0; nowMillis < HISTORY_MILLIS; step++, nowMillis += STEP_MILLIS) {
                changeVersions();
                injectFaults();
                members.forEach(this::read);
                exchangeGossip(step);
                begin();
                List.copyOf(attempts).forEach(this::advance);
            }
        }

        private void changeVersions() {
            if (nowMillis % 12_000 == 6_000 && nowMillis >= firstChangeMillis) {
                listings.add(new SoftwareVersion("v" + (2 + nowMillis / 12_000)));
                servingSinceMillis.put(listings.get(listings.size() - 1), nowMillis);
            }
            if (nowMillis % 12_000 == 11_000 && servingSinceMillis.size() > 1 && random.nextBoolean()) {
                servingSinceMillis.remove(servingSinceMillis.keySet().iterator().next());
            }
        }

        private void injectFaults() {
            if (random.nextInt(100) == 0) {
                int index = random.nextInt(members.size());
                Member member = members.get(index);
                long untilMillis = nowMillis + random.nextInt(8_000);
                switch (random.nextInt(6)) {
                    case 0 -> {
                        members.set(index, new Member(false));
                        members.get(index).upFromMillis = nowMillis + 1_500;
                        members.get(index).listingsRead = listings.size();
                    }
                    case 4 -> member.frozenUntilMillis = untilMillis;
                    case 5 -> {
                        member.delayedUntilMillis = untilMillis;
                        member.noGossipUntilMillis = untilMillis;
                    }
                    case 1 -> member.noStoreUntilMillis = untilMillis;
                    case 2 -> member.noGossipUntilMillis = untilMillis;
                    default -> {
                        member.noStoreUntilMillis = untilMillis;
                        member.noGossipUntilMillis = untilMillis;
                    }
                }
            }
        }

        /** Sends a reading that is due, or handles the answer to the one that was sent. */
        private void read(Member member) {
            if (!member.isUp(nowMillis)) {
                return;
            }
            if (member.reading != null && member.reading.handledMillis <= nowMillis) {
                handle(member, member.reading);
                member.reading = null;
            }
            if (member.reading == null
                    && member.noStoreUntilMillis <= nowMillis
                    && member.nextReadMillis <= nowMillis) {
                member.nextReadMillis = nowMillis + READ_MILLIS;
                boolean isDelayed = member.delayedUntilMillis > nowMillis;
                member.reading = new Reading(
                        Set.copyOf(servingSinceMillis.keySet()),
                        Set.copyOf(listings.subList(member.listingsRead, listings.size())),
                        nowMillis,
                        nowMillis + STEP_MILLIS + (isDelayed ? random.nextInt(MAX_DELAY_MILLIS) : 0));
                member.listingsRead = listings.size();
            }
        }

        private void handle(Member member, Reading reading) {
            member.versions.read(reading.listed, reading.since, true, reading.sentMillis, nowMillis);
            member.handledMillis = nowMillis;
            member.listed = reading.listed;
            member.seen.keySet().retainAll(member.listed);
            // A daemon that has just started takes no engine for new.
            long seenMillis = member.seen.isEmpty() ? nowMillis - SETTLING_MILLIS : nowMillis;
            member.listed.forEach(version -> member.seen.putIfAbsent(version, seenMillis));
        }

        private void exchangeGossip(int step) {
            for (int from = 0; gossip && from < members.size(); from++) {
                Member sender = members.get(from);
                for (int to = 0; to < members.size(); to++) {
                    if (from != to
                            && (from + to + step) % GOSSIP_ROUND_STEPS == 0
                            && sender.isUp(nowMillis)
                            && sender.noGossipUntilMillis <= nowMillis
                            && random.nextDouble() >= MESSAGE_LOSS_RATIO) {
                        messages.add(new Message(
                                members.get(to),
                                nowMillis + random.nextInt(50),
                                List.copyOf(sender.origins.ownSince(Long.MIN_VALUE, nowMillis))));
                    }
                }
            }
            messages.removeIf(message -> {
                boolean due = message.atMillis <= nowMillis && message.to.frozenUntilMillis <= nowMillis;
                if (due && message.to.isUp(nowMillis) && message.to.noGossipUntilMillis <= nowMillis) {
                    message.origins.forEach(origin -> message.to.origins.learn(origin, nowMillis));
                }
                return due;
            });
        }

        private Optional<Member> anyMember() {
            List<Member> up =
                    members.stream().filter(member -> member.isUp(nowMillis)).toList();
            return up.isEmpty() ? Optional.empty() : Optional.of(up.get(random.nextInt(up.size())));
        }

        /** Begins a stream at any version that a daemon knows, new ones last. */
        private void begin() {
            anyMember().filter(member -> !member.listed.isEmpty()).ifPresent(member -> {
                List<SoftwareVersion> settled = member.seen.keySet().stream()
                        .filter(version -> servingSinceMillis.containsKey(version))
                        .filter(version -> member.seen.get(version) <= nowMillis - SETTLING_MILLIS
                                || servingSinceMillis.get(version) < 0)
                        .toList();
                if (!settled.isEmpty()) {
                    SoftwareVersion version = settled.get(random.nextInt(settled.size()));
                    attempts.add(new Attempt(StreamId.of("attempt " + streams++), version, member, nowMillis + 100));
                }
            });
        }

        private Optional<SoftwareVersion> unknown(Member member, Attempt attempt) {
            return switch (rule) {
                case GUESS -> member.listed.stream().findAny();
                case HANDLED_LATELY -> nowMillis - member.handledMillis <= MAX_DELAY_MILLIS
                        ? member.versions.only(Long.MIN_VALUE, nowMillis)
                        : Optional.empty();
                case READ_AFTER_ARRIVAL -> {
                    if (member.versions.awaitsReading(attempt.handledMillis, nowMillis)) {
                        member.nextReadMillis = nowMillis;
                    }
                    yield member.versions.only(attempt.handledMillis, nowMillis);
                }
            };
        }

        private void advance(Attempt attempt) {
            if (nowMillis < attempt.nextMillis) {
                return;
            }
            if (attempt.deadlineMillis == 0) {
                attempts.remove(attempt);
                if (members.contains(attempt.member)) {
                    long untilMillis = nowMillis + 6_000;
                    attempt.member.origins.began(
                            new StreamOrigin(attempt.stream, attempt.version, nowMillis, untilMillis));
                    if (random.nextInt(3) == 0) {
                        Attempt next = new Attempt(
                                attempt.stream, attempt.version, null, nowMillis + 50 + random.nextInt(2_000));
                        next.deadlineMillis = untilMillis;
                        attempts.add(next);
                    }
                }
                return;
            }
            if (attempt.member == null) {
                attempt.member = anyMember().orElse(null);
                if (attempt.member == null) {
                    attempts.remove(attempt);
                    return;
                }
            }
            takeUp(attempt);
        }

        private void takeUp(Attempt attempt) {
            Member member = attempt.member;
            if (!member.isUp(nowMillis)) {
                return;
            }
            if (attempt.handledMillis < 0) {
                attempt.handledMillis = nowMillis;
            }
            Optional<SoftwareVersion> version =
                    member.origins.versionOf(attempt.stream, nowMillis).or(() -> unknown(member, attempt));
            if (version.isEmpty() && nowMillis < attempt.handledMillis + MAX_WAIT_MILLIS) {
                return;
            }
            attempts.remove(attempt);
            if (member.isInTouch(nowMillis) && servingSinceMillis.containsKey(attempt.version)) {
                takenUp++;
                wentOn += version.isPresent() ? 1 : 0;
            }
            if (version.filter(servingSinceMillis::containsKey).isPresent()
                    && !version.get().equals(attempt.version)) {
                mixed++;
            }
        }
    }

    /** An answer of the store on its way to a daemon. */
    private record Reading(
            Set<SoftwareVersion> listed, Set<SoftwareVersion> since, long sentMillis, long handledMillis) {}

    private record Message(Member to, long atMillis, List<StreamOrigin> origins) {}

    /** An attempt that begins a stream, or, with a deadline, one that takes it up. */
    private static final class Attempt {

        private final StreamId stream;
        private final SoftwareVersion version;
        private final long nextMillis;
        private Member member;
        private long deadlineMillis;
        private long handledMillis = -1;

        Attempt(StreamId stream, SoftwareVersion version, Member member, long nextMillis) {
            this.stream = stream;
            this.version = version;
            this.member = member;
            this.nextMillis = nextMillis;
        }
    }

    /** A simulated daemon. */
    private static final class Member {

        private final StreamOrigins origins = new StreamOrigins();
        private final ListedVersions versions;
        private final Map<SoftwareVersion, Long> seen =
                new TreeMap<>((one, other) -> one.value().compareTo(other.value()));
        private Set<SoftwareVersion> listed = Set.of();
        private long upFromMillis = -CONTACT_MILLIS;
        private long noStoreUntilMillis = -CONTACT_MILLIS;
        private long noGossipUntilMillis = -CONTACT_MILLIS;
        private long frozenUntilMillis = -CONTACT_MILLIS;
        private long delayedUntilMillis = -CONTACT_MILLIS;
        private long handledMillis = -CONTACT_MILLIS;
        private long nextReadMillis;
        private int listingsRead;
        private Reading reading;

        Member(boolean firstStart) {
            versions = new ListedVersions(firstStart);
        }

        boolean isUp(long nowMillis) {
            return upFromMillis <= nowMillis && frozenUntilMillis <= nowMillis;
        }

        boolean isInTouch(long nowMillis) {
            long storeMillis = Math.max(noStoreUntilMillis, delayedUntilMillis);
            return LongStream.of(upFromMillis, storeMillis, noGossipUntilMillis, frozenUntilMillis)
                    .allMatch(atMillis -> atMillis <= nowMillis - CONTACT_MILLIS);
        }
    }
}
