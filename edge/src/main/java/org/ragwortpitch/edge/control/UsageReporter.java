package org.ragwortpitch.edge.control;

import java.lang.System.Logger;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.ragwortpitch.contract.DutyForm;
import org.ragwortpitch.contract.FormException;
import org.ragwortpitch.contract.LogPage;
import org.ragwortpitch.contract.StoreForm;
import org.ragwortpitch.contract.UsageForm;
import org.ragwortpitch.edge.http.CallAnswer;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.ledger.LedgerEntry;
import org.ragwortpitch.ledger.Life;
import org.ragwortpitch.ledger.UsageJournal;
import org.ragwortpitch.logging.Event;

/**
 * The holder's part of usage: reads the journal, freezes each window's figures in it, and reports what was frozen
 * first, so that any two reports of a window are alike. Confined to the control thread.
 */
final class UsageReporter {

    private static final Logger LOGGER = System.getLogger(UsageReporter.class.getName());

    /** After a window's end daemons take this long to write their counts, in milliseconds. */
    private static final long SETTLE_MILLIS = 1_500;

    /** Counts that are missing are waited for until this much before the report is due, in milliseconds. */
    private static final long REPORT_MILLIS = 2_000;

    /** A report is tried until this many windows after its own; then it is too late to be of use. */
    private static final int KEPT_WINDOWS = 6;

    private static final int GONE = 410;

    private static final int CONFLICT = 409;

    private final StoreClient store;
    private final PlatformCalls platform;
    private final InstanceId self;
    private final long windowMillis;
    private final long lateMillis;
    private final UsageJournal journal = new UsageJournal();
    private final TreeSet<Long> reported = new TreeSet<>();
    private Map<Long, Map<Life, Map<AccountId, Long>>> told = Map.of();
    private Set<Life> expected = Set.of();
    private long nowMillis;
    private long offset;
    private boolean busy;

    UsageReporter(StoreClient store, PlatformCalls platform, InstanceId self, long windowMillis, long lateMillis) {
        this.store = store;
        this.platform = platform;
        this.self = self;
        this.windowMillis = windowMillis;
        this.lateMillis = lateMillis;
    }

    /**
     * Does the next step, if one is due.
     *
     * @param daemons those whose counts are waited for
     * @param refused hears that another holder has acted since
     */
    void step(long fencingToken, long wallMillis, Set<Life> daemons, Runnable refused) {
        expected = daemons;
        nowMillis = wallMillis;
        long last = Math.floorDiv(wallMillis - SETTLE_MILLIS, windowMillis) - 1;
        reported.headSet(last - 2 * KEPT_WINDOWS).clear();
        if (busy || nextDue(last).isEmpty()) {
            return;
        }
        busy = true;
        readJournal(
                () -> nextDue(last).ifPresentOrElse(window -> act(window, fencingToken, refused), () -> busy = false));
    }

    private Optional<Long> nextDue(long last) {
        for (long window = last - KEPT_WINDOWS; window <= last; window++) {
            if (!reported.contains(window)) {
                return Optional.of(window);
            }
        }
        return Optional.empty();
    }

    private void act(long window, long fencingToken, Runnable refused) {
        Optional<Map<AccountId, Long>> frozen = journal.frozen(window);
        if (frozen.isPresent()) {
            report(window, frozen.get(), fencingToken, refused);
        } else if (!journal.writers(window).containsAll(expected) && !isPressing(window)) {
            busy = false;
        } else if (figures(window).isEmpty()) {
            reported.add(window);
            busy = false;
        } else {
            freeze(window);
        }
    }

    private boolean isPressing(long window) {
        long endMillis = (window + 1) * windowMillis;
        return nowMillis > endMillis + lateMillis - REPORT_MILLIS;
    }

    /**
     * Adds to what the journal holds the counts of lives that could not write theirs, as they told their peers.
     */
    private Map<AccountId, Long> figures(long window) {
        Map<AccountId, Long> figures = new TreeMap<>(journal.counted(window));
        told.getOrDefault(window, Map.of()).forEach((life, counts) -> {
            if (!journal.writers(window).contains(life)) {
                Event.of("usage-from-peers")
                        .with("window", window)
                        .with("daemon", life.daemon())
                        .with("born", life.bornMillis())
                        .with("counts", counts)
                        .info(LOGGER);
                counts.forEach((account, count) -> figures.merge(account, count, Long::sum));
            }
        });
        return figures;
    }

    /**
     * Takes over what other daemons have told of their counts.
     */
    void told(Map<Long, Map<Life, Map<AccountId, Long>>> counts) {
        told = counts;
    }

    private void freeze(long window) {
        LedgerEntry entry = new LedgerEntry(window, self, 0, 0, true, figures(window));
        store.call(
                StoreForm.append(UsageForm.TOPIC, List.of(UsageForm.encode(entry))),
                0,
                answer -> busy = false,
                reason -> busy = false);
    }

    private void report(long window, Map<AccountId, Long> counts, long fencingToken, Runnable refused) {
        platform.call(
                DutyForm.usage(self, fencingToken, window, counts),
                "usage of window " + window + " " + counts,
                answer -> {
                    busy = false;
                    if (answer.isOk()) {
                        reported.add(window);
                    } else if (answer.status() == CONFLICT) {
                        refused.run();
                    }
                },
                () -> busy = false);
    }

    private void readJournal(Runnable done) {
        store.call(
                StoreForm.read(UsageForm.TOPIC, offset, 0),
                0,
                answer -> {
                    if (apply(answer)) {
                        done.run();
                    } else {
                        busy = false;
                    }
                },
                reason -> busy = false);
    }

    /**
     * Applies a page.
     *
     * @return whether the journal was read up to its end
     */
    private boolean apply(CallAnswer answer) {
        if (answer.status() == GONE) {
            offset = StoreForm.firstOffset(answer.body()).orElse(offset);
            return false;
        }
        if (!answer.isOk()) {
            Event.of("journal-unreadable").with("status", answer.status()).warn(LOGGER);
            return false;
        }
        try {
            LogPage page = StoreForm.logPage(answer.body(), offset);
            for (byte[] record : page.records()) {
                applyRecord(record);
            }
            offset = page.nextOffset();
            return offset >= page.endOffset();
        } catch (FormException exception) {
            Event.of("journal-unreadable")
                    .with("reason", exception.getMessage())
                    .warn(LOGGER);
            return false;
        }
    }

    private void applyRecord(byte[] record) {
        try {
            journal.apply(UsageForm.decode(record));
        } catch (FormException exception) {
            Event.of("usage-entry-unreadable")
                    .with("reason", exception.getMessage())
                    .warn(LOGGER);
        }
    }
}
