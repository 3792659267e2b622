package org.ragwortpitch.history;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.ragwortpitch.configuration.AccountRule;
import org.ragwortpitch.configuration.RateLimit;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.TransferId;
import org.ragwortpitch.limit.Admission;
import org.ragwortpitch.limit.AdmissionKind;
import org.ragwortpitch.limit.Allowance;
import org.ragwortpitch.limit.Surrender;
import org.ragwortpitch.membership.InvalidLeaseTimingException;
import org.ragwortpitch.membership.LeaseTiming;
import org.ragwortpitch.membership.Witness;

/**
 * A random history of a few daemons over one log.
 */
final class History {

    static final double DRIFT = 0.03;

    static final AccountId ACCOUNT = new AccountId("account");

    static final long RATE = 100;

    static final long BURST = 400;

    private static final int DAEMONS = 3;

    private static final int WISHES_PER_BURST = 40;

    private final SplittableRandom random;

    private final Variant variant;

    private final SimulatedLog log;

    private final List<SimulatedDaemon> daemons = new ArrayList<>();

    private final List<Spent> spent = new ArrayList<>();

    private final List<Loan> loans = new ArrayList<>();

    private final List<Runnable> messages = new ArrayList<>();

    private double nowMillis;

    private int claims;

    private long nextId;

    History(long seed, Variant variant) {
        this.random = new SplittableRandom(seed);
        this.variant = variant;
        this.log = new SimulatedLog(random.split());
        RateLimit limit = new RateLimit(RATE, BURST);
        List<AccountRule> accounts = List.of(new AccountRule(ACCOUNT, 1, limit, new RateLimit(1_000_000, 1_000_000)));
        for (int index = 0; index < DAEMONS; index++) {
            double rate = 1 + (random.nextDouble() - 0.5) * DRIFT;
            daemons.add(new SimulatedDaemon(index, rate, variant, timing(), accounts));
        }
    }

    private static LeaseTiming timing() {
        try {
            return LeaseTiming.of(10_000, 1_000, 31, 1_000);
        } catch (InvalidLeaseTimingException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /**
     * Runs the history and counts the steps at which two daemons believed to hold one duty.
     */
    int stepsWithTwoBelievers(int steps) {
        int bad = 0;
        for (int step = 0; step < steps; step++) {
            step();
            long believers = daemons.stream()
                    .filter(daemon -> daemon.believesInDuty(nowMillis))
                    .count();
            bad += believers > 1 ? 1 : 0;
            claims += believers > 0 ? 1 : 0;
        }
        return bad;
    }

    /**
     * Runs the history with spending and tells by how many tokens the account exceeded its rate and burst.
     */
    double overspent(int steps) {
        for (int step = 0; step < steps; step++) {
            step();
            exchange();
            int wishes = random.nextInt(8) == 0 ? WISHES_PER_BURST : random.nextInt(2);
            for (int wish = 0; wish < wishes; wish++) {
                spend();
            }
        }
        return overspent();
    }

    private void step() {
        nowMillis += 20 + random.nextDouble() * 480;
        log.advance(nowMillis);
        if (random.nextInt(400) == 0) {
            log.out(nowMillis + random.nextInt(60_000));
        }
        SimulatedDaemon daemon = daemons.get(random.nextInt(DAEMONS));
        if (daemon.isPaused(nowMillis)) {
            return;
        }
        int fate = random.nextInt(400);
        if (fate < 8) {
            int[] pausesMillis = {1_000, 5_000, 15_000, 40_000};
            daemon.pause(nowMillis + pausesMillis[random.nextInt(pausesMillis.length)]);
        } else if (fate < 9) {
            daemon.restart();
        } else {
            run(daemon);
        }
    }

    private void run(SimulatedDaemon daemon) {
        int head = log.records().size();
        if (!log.isOut(nowMillis)) {
            boolean lags = random.nextInt(10) < 4;
            int upTo = lags ? daemon.position() + random.nextInt(head - daemon.position() + 1) : head;
            daemon.read(log.records(), upTo, nowMillis);
            handOver(daemon.surrendered());
        }
        if (random.nextBoolean()) {
            daemon.act(log, nowMillis);
            handOver(daemon.surrendered());
        }
    }

    private void handOver(List<Surrender> surrendered) {
        for (Surrender surrender : surrendered) {
            for (SimulatedDaemon heir : daemons) {
                if (heir.self().equals(surrender.heir()) && random.nextInt(4) > 0) {
                    messages.add(() -> heir.limits().inherit(surrender, heir.local(nowMillis)));
                }
            }
        }
    }

    private void exchange() {
        SimulatedDaemon asker = daemons.get(random.nextInt(DAEMONS));
        SimulatedDaemon asked = daemons.get(random.nextInt(DAEMONS));
        if (asker != asked && !asker.isPaused(nowMillis) && !asked.isPaused(nowMillis) && random.nextInt(4) > 0) {
            Witness witness = asked.presence(asker.self(), asker.local(nowMillis), nowMillis);
            messages.add(() -> asker.heard(witness));
        }
        while (!messages.isEmpty() && random.nextInt(3) > 0) {
            messages.remove(random.nextInt(messages.size())).run();
        }
        settleLoans();
    }

    private void spend() {
        SimulatedDaemon daemon = daemons.get(random.nextInt(DAEMONS));
        if (daemon.isPaused(nowMillis)) {
            return;
        }
        long tokens = 1 + random.nextInt(120);
        TransferId id = new TransferId("t" + nextId++);
        Allowance wish = new Allowance(tokens, 1);
        Admission local = daemon.limits().admit(ACCOUNT, id, wish, daemon.local(nowMillis));
        if (local.kind() == AdmissionKind.GRANTED) {
            long used = used(tokens);
            spent.add(new Spent(nowMillis, used));
            double atMillis = nowMillis + random.nextInt(5_000);
            loans.add(new Loan(atMillis, daemon, id, used));
        } else if (local.kind() == AdmissionKind.NOT_HOME) {
            borrow(daemon, id, wish);
        }
    }

    private long used(long tokens) {
        return random.nextBoolean() ? tokens : 1 + random.nextLong(tokens);
    }

    /**
     * Borrows from whoever lends. The loan is spent at any moment within the borrower's time.
     */
    private void borrow(SimulatedDaemon borrower, TransferId id, Allowance wish) {
        for (SimulatedDaemon home : daemons) {
            boolean isHome = borrower.limits().homesOf(ACCOUNT).contains(home.self());
            if (isHome && !home.isPaused(nowMillis)) {
                Admission lent = home.limits().lend(ACCOUNT, id, wish, home.local(nowMillis));
                if (lent.kind() == AdmissionKind.GRANTED) {
                    long used = used(wish.tokens());
                    spent.add(new Spent(nowMillis + random.nextInt(400), used));
                    double settledMillis = nowMillis + 400 + random.nextInt(3_000);
                    loans.add(new Loan(settledMillis, home, id, used));
                }
            }
        }
    }

    private void settleLoans() {
        loans.removeIf(loan -> {
            boolean due = loan.atMillis() <= nowMillis && !loan.home().isPaused(nowMillis);
            if (due && random.nextInt(5) > 0) {
                loan.home()
                        .limits()
                        .settle(
                                ACCOUNT,
                                loan.id(),
                                new Allowance(loan.used(), 1),
                                loan.home().local(nowMillis));
            }
            return due;
        });
    }

    /**
     * Replays what was spent against a bucket that starts full: it runs short by what was spent too much.
     */
    private double overspent() {
        spent.sort((left, right) -> Double.compare(left.atMillis(), right.atMillis()));
        double level = BURST;
        double worst = 0;
        double lastMillis = 0;
        for (Spent each : spent) {
            double refill = (each.atMillis() - lastMillis) * RATE * (1 + DRIFT) / 1000;
            level = Math.min(BURST, level + refill) - each.tokens();
            lastMillis = each.atMillis();
            worst = Math.max(worst, -level);
        }
        return worst;
    }

    int claims() {
        return claims;
    }

    int spentCount() {
        return spent.size();
    }

    /**
     * What an account has spent.
     */
    private record Spent(double atMillis, long tokens) {}

    /**
     * What is to be settled.
     */
    private record Loan(double atMillis, SimulatedDaemon home, TransferId id, long used) {}
}
