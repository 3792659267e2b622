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
import org.ragwortpitch.limit.QuotaAmount;
import org.ragwortpitch.limit.QuotaHandover;
import org.ragwortpitch.membership.InvalidLeaseTimingException;
import org.ragwortpitch.membership.LeaseTiming;
import org.ragwortpitch.membership.PeerProgress;

/**
 * A history of a few daemons over one log, generated from a seed.
 */
final class History {

    static final double DRIFT = 0.03;

    static final AccountId ACCOUNT = new AccountId("account");

    static final long RATE = 100;

    static final long BURST = 400;

    private static final int DAEMONS = 3;

    private static final int REQUESTS_PER_BURST = 40;

    private final SplittableRandom random;

    private final Variant variant;

    private final SimulatedLog log;

    private final List<SimulatedDaemon> daemons = new ArrayList<>();

    private final List<Spending> spendings = new ArrayList<>();

    private final List<Grant> grants = new ArrayList<>();

    private final List<Runnable> messages = new ArrayList<>();

    private double nowMillis;

    private int heldSteps;

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
     * Runs the history and returns the number of steps after which several daemons assume that they hold the usage
     * duty.
     */
    int stepsWithTwoHolders(int steps) {
        int violations = 0;
        for (int step = 0; step < steps; step++) {
            step();
            long holders = daemons.stream()
                    .filter(daemon -> daemon.assumesUsageDuty(nowMillis))
                    .count();
            violations += holders > 1 ? 1 : 0;
            heldSteps += holders > 0 ? 1 : 0;
        }
        return violations;
    }

    /**
     * Runs the history with client requests.
     *
     * @return the number of tokens by which the account exceeded its rate and burst
     */
    double excessTokens(int steps) {
        for (int step = 0; step < steps; step++) {
            step();
            exchangeMessages();
            int requests = random.nextInt(8) == 0 ? REQUESTS_PER_BURST : random.nextInt(2);
            for (int request = 0; request < requests; request++) {
                requestTokens();
            }
        }
        return excessTokens();
    }

    private void step() {
        nowMillis += 20 + random.nextDouble() * 480;
        log.advance(nowMillis);
        if (random.nextInt(400) == 0) {
            log.startOutage(nowMillis + random.nextInt(60_000));
        }
        SimulatedDaemon daemon = daemons.get(random.nextInt(DAEMONS));
        if (daemon.isPaused(nowMillis)) {
            return;
        }
        int event = random.nextInt(400);
        if (event < 8) {
            int[] pausesMillis = {1_000, 5_000, 15_000, 40_000};
            daemon.pause(nowMillis + pausesMillis[random.nextInt(pausesMillis.length)]);
        } else if (event < 9) {
            daemon.restart();
        } else {
            run(daemon);
        }
    }

    private void run(SimulatedDaemon daemon) {
        int head = log.records().size();
        if (!log.isUnavailable(nowMillis)) {
            boolean lags = random.nextInt(10) < 4;
            int upTo = lags ? daemon.position() + random.nextInt(head - daemon.position() + 1) : head;
            daemon.read(log.records(), upTo, nowMillis);
            sendHandovers(daemon.handovers());
        }
        if (random.nextBoolean()) {
            daemon.act(log, nowMillis);
            sendHandovers(daemon.handovers());
        }
    }

    private void sendHandovers(List<QuotaHandover> handovers) {
        for (QuotaHandover handover : handovers) {
            for (SimulatedDaemon successor : daemons) {
                if (successor.self().equals(handover.successor()) && random.nextInt(4) > 0) {
                    messages.add(() -> successor.quotas().acceptHandover(handover, successor.local(nowMillis)));
                }
            }
        }
    }

    private void exchangeMessages() {
        SimulatedDaemon requester = daemons.get(random.nextInt(DAEMONS));
        SimulatedDaemon responder = daemons.get(random.nextInt(DAEMONS));
        if (requester != responder
                && !requester.isPaused(nowMillis)
                && !responder.isPaused(nowMillis)
                && random.nextInt(4) > 0) {
            PeerProgress progress = responder.answerProbe(requester.self(), requester.local(nowMillis), nowMillis);
            messages.add(() -> requester.receive(progress));
        }
        while (!messages.isEmpty() && random.nextInt(3) > 0) {
            messages.remove(random.nextInt(messages.size())).run();
        }
        settleGrants();
    }

    private void requestTokens() {
        SimulatedDaemon daemon = daemons.get(random.nextInt(DAEMONS));
        if (daemon.isPaused(nowMillis)) {
            return;
        }
        long tokens = 1 + random.nextInt(120);
        TransferId id = new TransferId("t" + nextId++);
        QuotaAmount amount = new QuotaAmount(tokens, 1);
        Admission local = daemon.quotas().admit(ACCOUNT, id, amount, daemon.local(nowMillis));
        if (local.kind() == AdmissionKind.GRANTED) {
            long used = randomUse(tokens);
            spendings.add(new Spending(nowMillis, used));
            double atMillis = nowMillis + random.nextInt(5_000);
            grants.add(new Grant(atMillis, daemon, id, used));
        } else if (local.kind() == AdmissionKind.NOT_HOME) {
            borrow(daemon, id, amount);
        }
    }

    private long randomUse(long tokens) {
        return random.nextBoolean() ? tokens : 1 + random.nextLong(tokens);
    }

    /**
     * Borrows quota from every owner that lends it. The borrowed quota is spent at any time before the
     * borrower's deadline.
     */
    private void borrow(SimulatedDaemon borrower, TransferId id, QuotaAmount amount) {
        for (SimulatedDaemon owner : daemons) {
            boolean isOwner = borrower.quotas().ownersOf(ACCOUNT).contains(owner.self());
            if (isOwner && !owner.isPaused(nowMillis)) {
                Admission lent = owner.quotas().lend(ACCOUNT, id, amount, owner.local(nowMillis));
                if (lent.kind() == AdmissionKind.GRANTED) {
                    long used = randomUse(amount.tokens());
                    spendings.add(new Spending(nowMillis + random.nextInt(400), used));
                    double atMillis = nowMillis + 400 + random.nextInt(3_000);
                    grants.add(new Grant(atMillis, owner, id, used));
                }
            }
        }
    }

    private void settleGrants() {
        grants.removeIf(grant -> {
            boolean due = grant.atMillis() <= nowMillis && !grant.owner().isPaused(nowMillis);
            if (due && random.nextInt(5) > 0) {
                grant.owner()
                        .quotas()
                        .settle(
                                ACCOUNT,
                                grant.id(),
                                new QuotaAmount(grant.used(), 1),
                                grant.owner().local(nowMillis));
            }
            return due;
        });
    }

    /**
     * Replays the spending against a token bucket that starts full. The lowest level below zero is the excess.
     */
    private double excessTokens() {
        spendings.sort((left, right) -> Double.compare(left.atMillis(), right.atMillis()));
        double level = BURST;
        double excess = 0;
        double lastMillis = 0;
        for (Spending spending : spendings) {
            double refill = (spending.atMillis() - lastMillis) * RATE * (1 + DRIFT) / 1000;
            level = Math.min(BURST, level + refill) - spending.tokens();
            lastMillis = spending.atMillis();
            excess = Math.max(excess, -level);
        }
        return excess;
    }

    int heldSteps() {
        return heldSteps;
    }

    int spendingCount() {
        return spendings.size();
    }

    /**
     * Tokens that the account spent at a time.
     */
    private record Spending(double atMillis, long tokens) {}

    /**
     * A grant that the granting owner settles at a time, with the tokens that were used.
     */
    private record Grant(double atMillis, SimulatedDaemon owner, TransferId id, long used) {}
}
