package org.ragwortpitch.control;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.ragwortpitch.configuration.EndpointRule;
import org.ragwortpitch.endpoint.Engine;
import org.ragwortpitch.order.OrderOutcome;
import org.ragwortpitch.platform.Acknowledgement;
import org.ragwortpitch.platform.PlatformException;
import org.ragwortpitch.platform.PlatformFailure;
import org.ragwortpitch.platform.PlatformLog;
import org.ragwortpitch.platform.UsageReports;

/**
 * The control thread: an actor on a thread of its own that owns all control state.
 */
public final class ControlActor extends AbstractBehavior<ControlMessage> {

    /**
     * How often what is due is done, in milliseconds.
     */
    private static final long TICK_MILLIS = 100;

    /**
     * The most records of one read.
     */
    private static final int MAX_PAGE_RECORDS = 1_000;

    /**
     * How long a read waits for records, in milliseconds.
     */
    private static final long READ_WAIT_MILLIS = 500;

    /**
     * The clocks.
     */
    private final Clocks clocks;

    /**
     * The control state.
     */
    private final ControlCore core;

    /**
     * Makes the actor.
     *
     * @param context   the actor's context
     * @param settings  the settings
     * @param clocks    the clocks
     * @param log       the platform's log
     * @param reports   the platform's usage reports
     * @param engines   supplies clients of engines
     * @param publisher takes each new snapshot
     */
    private ControlActor(
            ActorContext<ControlMessage> context,
            ControlSettings settings,
            Clocks clocks,
            PlatformLog log,
            UsageReports reports,
            Function<EndpointRule, Engine> engines,
            Consumer<Snapshot> publisher) {
        super(context);
        this.clocks = clocks;
        ActorRef<ControlMessage> self = context.getSelf();
        this.core = new ControlCore(
                settings,
                new MessagingLogClient(log, self),
                (report, term) -> reports.report(report).whenComplete((done, failure) -> {
                    if (failure == null && done.accepted()) {
                        self.tell(new ReportDone(report.window(), term));
                    } else {
                        self.tell(new ReportFailed(report.window(), String.valueOf(failure)));
                    }
                }),
                (endpoint, order) -> engines.apply(endpoint)
                        .order(order)
                        .whenComplete((done, failure) ->
                                self.tell(new OrderAnswered(order.token(), outcomeOf(done, failure)))),
                publisher);
    }

    /**
     * Describes the actor.
     *
     * @param settings  the settings
     * @param clocks    the clocks
     * @param log       the platform's log
     * @param reports   the platform's usage reports
     * @param engines   supplies clients of engines
     * @param publisher takes each new snapshot, on the control thread
     * @return the behavior
     */
    public static Behavior<ControlMessage> create(
            ControlSettings settings,
            Clocks clocks,
            PlatformLog log,
            UsageReports reports,
            Function<EndpointRule, Engine> engines,
            Consumer<Snapshot> publisher) {
        return Behaviors.setup(context -> Behaviors.withTimers(timers -> {
            timers.startTimerWithFixedDelay(Tick.INSTANCE, Duration.ofMillis(TICK_MILLIS));
            return new ControlActor(context, settings, clocks, log, reports, engines, publisher);
        }));
    }

    @Override
    public Receive<ControlMessage> createReceive() {
        return newReceiveBuilder().onAnyMessage(this::handle).build();
    }

    /**
     * Takes a message, then does what is due.
     *
     * @param message the message
     * @return this behavior
     */
    private Behavior<ControlMessage> handle(ControlMessage message) {
        long nowMillis = clocks.nowMillis();
        if (message instanceof PageRead read) {
            core.handlePage(read.sentMillis(), read.page(), nowMillis);
        } else if (message instanceof ReadFailed failed) {
            core.handleReadFailure(failed.reason(), nowMillis);
        } else if (message instanceof AppendDone done) {
            core.writer().handleAcknowledgement(done.batch(), done.offset());
        } else if (message instanceof AppendFailed failed) {
            core.writer().handleFailure(failed, nowMillis);
        } else if (message instanceof RecordUsage usage) {
            core.writer().addUsage(usage.entry(), usage.durable());
        } else if (message instanceof StartOperation start) {
            core.startOperation(start, nowMillis, clocks.epochMillis());
        } else if (message instanceof EndOperation end) {
            core.operations().end(end.key(), end.outcome());
        } else if (message instanceof PeerPresence presence) {
            core.peers().updateProgress(presence.progress());
        } else if (message instanceof AskPresence question) {
            core.answerPresence(question, nowMillis);
        } else {
            handleInfrequent(message, nowMillis);
        }
        core.tick(nowMillis, clocks.epochMillis());
        return this;
    }

    /**
     * Takes a message of a kind that comes seldom.
     *
     * @param message   the message
     * @param nowMillis the present time, of the monotonic clock
     */
    private void handleInfrequent(ControlMessage message, long nowMillis) {
        if (message instanceof ProposeRules proposal) {
            core.rules().propose(proposal);
        } else if (message instanceof ReportDone done) {
            core.usageReporter().handleAcknowledgement(done);
        } else if (message instanceof ReportFailed failed) {
            core.usageReporter().handleFailure(failed, nowMillis);
        } else if (message instanceof EndpointReported reported) {
            core.roleOrders().handleReport(reported);
        } else if (message instanceof OrderAnswered answered) {
            core.roleOrders().handleAnswer(answered);
        } else if (message instanceof BeginLeaving leaving) {
            core.session().handleLeaving(leaving, nowMillis);
        } else if (message instanceof PeerRecords records) {
            core.applyPeerRecords(records.records(), nowMillis);
        } else if (message instanceof AskRecords question) {
            core.answerRecords(question);
        } else if (message instanceof HoldUsage usage) {
            core.peers().bufferUsage(usage);
        } else if (message instanceof AskState<?> question) {
            question.answer(core.reducer());
        }
    }

    /**
     * Tells what an engine's answer to an order means.
     *
     * @param done    the answer
     * @param failure why there was none
     * @return the outcome; null if it is not known
     */
    private static OrderOutcome outcomeOf(Acknowledgement done, Throwable failure) {
        if (failure == null) {
            return done.accepted() ? OrderOutcome.ACKNOWLEDGED : OrderOutcome.REFUSED;
        }
        boolean refused =
                failure instanceof PlatformException platform && platform.failure() == PlatformFailure.REFUSED;
        return refused ? OrderOutcome.REFUSED : null;
    }

    /**
     * Calls the log and turns its answers into messages.
     *
     * @param platform the platform's log
     * @param self     gets the messages
     */
    private record MessagingLogClient(PlatformLog platform, ActorRef<ControlMessage> self) implements LogClient {

        @Override
        public void append(long batch, List<String> texts) {
            platform.append(texts).whenComplete((offset, failure) -> {
                if (failure == null) {
                    self.tell(new AppendDone(batch, offset));
                } else {
                    self.tell(new AppendFailed(batch, String.valueOf(failure.getMessage())));
                }
            });
        }

        @Override
        public void read(long fromOffset, long sentMillis) {
            platform.read(fromOffset, MAX_PAGE_RECORDS, READ_WAIT_MILLIS).whenComplete((page, failure) -> {
                if (failure == null) {
                    self.tell(new PageRead(sentMillis, page));
                } else {
                    self.tell(new ReadFailed(String.valueOf(failure.getMessage())));
                }
            });
        }
    }
}
