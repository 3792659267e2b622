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
import org.ragwortpitch.endpoint.EngineClient;
import org.ragwortpitch.order.OrderOutcome;
import org.ragwortpitch.platform.Acknowledgement;
import org.ragwortpitch.platform.PlatformException;
import org.ragwortpitch.platform.PlatformFailure;
import org.ragwortpitch.platform.PlatformLog;
import org.ragwortpitch.platform.UsageReports;

/**
 * The actor of the control thread. It owns all control state, and turns the results of asynchronous calls into messages
 * to itself.
 */
public final class ControlActor extends AbstractBehavior<ControlMessage> {

    /**
     * Interval at which due work is checked for when no message arrives, in milliseconds.
     */
    private static final long TICK_MILLIS = 100;

    private static final int MAX_PAGE_RECORDS = 1_000;

    /**
     * How long the platform holds a read of the log open until records arrive, in milliseconds.
     */
    private static final long READ_WAIT_MILLIS = 500;

    private final Clocks clocks;

    private final ControlCore core;

    private ControlActor(
            ActorContext<ControlMessage> context,
            ControlSettings settings,
            Clocks clocks,
            PlatformLog log,
            UsageReports reports,
            Function<EndpointRule, EngineClient> engines,
            Consumer<Snapshot> publisher) {
        super(context);
        this.clocks = clocks;
        ActorRef<ControlMessage> self = context.getSelf();
        this.core = new ControlCore(
                settings,
                new MessagingLogClient(log, self),
                (report, term) -> reports.report(report).whenComplete((response, failure) -> {
                    if (failure == null && response.accepted()) {
                        self.tell(new ReportDone(report.window(), term));
                    } else {
                        self.tell(new ReportFailed(report.window(), String.valueOf(failure)));
                    }
                }),
                (endpoint, order) -> engines.apply(endpoint)
                        .order(order)
                        .whenComplete((response, failure) ->
                                self.tell(new OrderAnswered(order.token(), outcomeOf(response, failure)))),
                publisher);
    }

    /**
     * Creates the behavior of the control actor.
     *
     * @param settings  the settings
     * @param clocks    the clocks
     * @param log       the platform's control log
     * @param reports   the platform's receiver of usage reports
     * @param engines   supplies the client of an engine
     * @param publisher receives each new snapshot, on the control thread
     * @return the behavior
     */
    public static Behavior<ControlMessage> create(
            ControlSettings settings,
            Clocks clocks,
            PlatformLog log,
            UsageReports reports,
            Function<EndpointRule, EngineClient> engines,
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
     * Handles a message, then does the work that is due.
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
        } else if (message instanceof PeerProgressReported presence) {
            core.peers().updateProgress(presence.progress());
        } else if (message instanceof QueryPresence query) {
            core.answerPresence(query, nowMillis);
        } else {
            handleInfrequent(message, nowMillis);
        }
        core.tick(nowMillis, clocks.epochMillis());
        return this;
    }

    /**
     * Handles the messages that arrive less often than those in {@link #handle}.
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
        } else if (message instanceof ShutdownStep leaving) {
            core.session().handleLeaving(leaving, nowMillis);
        } else if (message instanceof PeerRecords records) {
            core.applyPeerRecords(records.records(), nowMillis);
        } else if (message instanceof QueryRecords query) {
            core.answerRecords(query);
        } else if (message instanceof BufferPeerUsage usage) {
            core.peers().bufferUsage(usage);
        } else if (message instanceof QueryState<?> query) {
            query.answer(core.reducer());
        }
    }

    /**
     * Maps the result of a call to an engine to the outcome of the order.
     *
     * @return the outcome; null if the call failed without a refusal, so that the engine may have executed the order
     */
    private static OrderOutcome outcomeOf(Acknowledgement response, Throwable failure) {
        if (failure == null) {
            return response.accepted() ? OrderOutcome.ACKNOWLEDGED : OrderOutcome.REFUSED;
        }
        boolean refused =
                failure instanceof PlatformException platform && platform.failure() == PlatformFailure.REFUSED;
        return refused ? OrderOutcome.REFUSED : null;
    }

    /**
     * Calls the platform's log and sends each result to the control actor as a message.
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
