package org.ragwortpitch.edge.control;

import io.netty.channel.EventLoop;
import java.lang.System.Logger;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.ragwortpitch.contract.DaemonForm;
import org.ragwortpitch.contract.DeploymentForm;
import org.ragwortpitch.contract.FormException;
import org.ragwortpitch.contract.InstanceSettings;
import org.ragwortpitch.contract.KeyedRecord;
import org.ragwortpitch.contract.StoreForm;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.Pool;
import org.ragwortpitch.edge.directory.EdgeMetrics;
import org.ragwortpitch.edge.http.HttpCaller;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.ledger.Life;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.scaling.PoolDemand;

/**
 * Follows the store for the rest of the daemon, lists the daemon there, and carries duties out. Its methods may be
 * called on the control thread only.
 */
public final class Control {

    private static final Logger LOGGER = System.getLogger(Control.class.getName());

    /** How long the store waits for a change of the daemons, in milliseconds; each call has a price. */
    private static final long WAIT_MILLIS = 10_000;

    /**
     * The same for the configuration. A connection may go silent; with the time for an answer that shows before an
     * instance counts as in touch again, three seconds after.
     */
    private static final long DEPLOYMENT_WAIT_MILLIS = 1_200;

    /**
     * What is left of the time to act on an endpoint's entry after the pause between reads, in milliseconds: an answer
     * takes 4, a lost call is made again after 250. Usually another daemon tells of a change before.
     */
    private static final long ENDPOINTS_SPARE_MILLIS = 700;

    /** The pause between reads of the daemons' entries, in milliseconds: a fleet that starts lists itself at once. */
    private static final long DAEMONS_PACE_MILLIS = 500;

    private static final long RETRY_MILLIS = 500;

    /** How often entries that must be back are looked for, in milliseconds: a tenth of the second left to act on it. */
    private static final long DROP_MILLIS = 100;

    private final EventLoop loop;
    private final InstanceSettings settings;
    private final Daemon self;
    private final ControlListener listener;
    private final StoreClient store;
    private final EndpointBook endpoints = new EndpointBook();
    private final Map<InstanceId, Daemon> daemons = new HashMap<>();
    private final UsageDesk usage;
    private final DutyDesk duties;
    private Map<PoolId, PoolDemand> demands = Map.of();
    private Map<Long, Map<Life, Map<AccountId, Long>>> told = Map.of();
    private Deployment deployment;
    private TopicFollower endpointsFollower;

    /**
     * Prepares to follow the store.
     *
     * @param wallMillis   this instance's wall clock
     * @param agreedMillis the wall clock as most daemons' clocks show it
     */
    public Control(
            EventLoop loop,
            HttpCaller caller,
            InstanceSettings settings,
            Daemon self,
            ControlListener listener,
            EdgeMetrics metrics,
            LongSupplier clockMillis,
            LongSupplier wallMillis,
            LongSupplier agreedMillis) {
        this.loop = loop;
        this.settings = settings;
        this.self = self;
        this.listener = listener;
        this.store = new StoreClient(caller, settings.storeAddress(), clockMillis, metrics);
        String life = self.id().value() + "-" + self.bornMillis();
        this.usage = new UsageDesk(loop, store, self);
        this.duties = new DutyDesk(
                loop,
                store,
                life,
                new LeaseClock(clockMillis, wallMillis),
                settings.bounds().leaseMillis(),
                settings.bounds().fenced(),
                duty(caller, clockMillis, agreedMillis));
    }

    private Duty duty(HttpCaller caller, LongSupplier clockMillis, LongSupplier agreedMillis) {
        if (settings.cloud().isEmpty()) {
            return (token, refused) -> {};
        }
        PlatformCalls platform = new PlatformCalls(caller, settings.cloud().get());
        UsageReporter reporter = new UsageReporter(
                store,
                platform,
                self.id(),
                settings.bounds().usageWindowMillis(),
                settings.bounds().usageLateMillis());
        FleetDesk fleet = new FleetDesk(platform, self.id(), clockMillis);
        RoleDesk roles = new RoleDesk(caller, self.id(), clockMillis);
        return (token, refused) -> {
            reporter.told(told);
            reporter.step(token, agreedMillis.getAsLong(), lives(), refused);
            if (deployment != null) {
                deployment.pools().forEach(pool -> stepEngines(token, pool, fleet, roles));
            }
        };
    }

    private Set<Life> lives() {
        return daemons.values().stream()
                .map(daemon -> new Life(daemon.id(), daemon.bornMillis()))
                .collect(Collectors.toSet());
    }

    private void stepEngines(long token, Pool pool, FleetDesk fleet, RoleDesk roles) {
        Collection<Endpoint> listed = endpoints.endpoints();
        if (pool.engine().isEmpty()
                || listed.stream().noneMatch(engine -> engine.pool().equals(pool.id()))) {
            return;
        }
        PoolDemand demand = demands.getOrDefault(pool.id(), new PoolDemand(0, 0));
        pool.scaling().ifPresent(spec -> {
            fleet.step(token, pool.id(), spec, listed, demand).ifPresent(count -> {
                roles.step(token, pool.id(), pool.engine().get(), listed, count.decoders());
                listener.onChanging(roles.changing());
            });
        });
    }

    /**
     * Begins to follow the store.
     */
    public void start() {
        list();
        follow(StoreForm.OPERATORS_TOPIC, 0, DEPLOYMENT_WAIT_MILLIS, this::deployments);
        long endpointsPaceMillis =
                Math.max(ENDPOINTS_SPARE_MILLIS, settings.bounds().drainMillis() - ENDPOINTS_SPARE_MILLIS);
        endpointsFollower = follow(StoreForm.ENDPOINTS_TOPIC, endpointsPaceMillis, 0, this::endpoints);
        follow(DaemonForm.TOPIC, DAEMONS_PACE_MILLIS, WAIT_MILLIS, this::daemons);
        loop.scheduleWithFixedDelay(this::dropMissing, DROP_MILLIS, DROP_MILLIS, TimeUnit.MILLISECONDS);
        duties.start();
    }

    /**
     * Writes what this daemon counted.
     */
    public void counted(SortedMap<Long, Map<AccountId, Long>> windows) {
        usage.counted(windows);
    }

    /**
     * Takes over what other daemons have told of their counts of usage.
     */
    public void told(Map<Long, Map<Life, Map<AccountId, Long>>> counts) {
        told = counts;
    }

    /**
     * Takes over what is asked of pools of engines.
     */
    public void demanded(Map<PoolId, PoolDemand> now) {
        demands = now;
    }

    /**
     * Takes over that another daemon knows of a change of the endpoints.
     */
    public void endpointsChanged(long offset) {
        if (endpointsFollower != null) {
            endpointsFollower.readSoon(offset);
        }
    }

    /**
     * Gives duties up.
     */
    public void leave(Runnable done) {
        duties.leave(done);
    }

    private void list() {
        byte[] record = StoreForm.keyed(self.id().value(), DaemonForm.encode(self));
        store.call(
                StoreForm.append(DaemonForm.TOPIC, List.of(record)),
                0,
                answer -> {
                    if (!answer.isOk()) {
                        relist("status " + answer.status());
                    }
                },
                this::relist);
    }

    private void relist(String reason) {
        Event.of("daemon-not-listed").with("reason", reason).info(LOGGER);
        loop.schedule(this::list, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private TopicFollower follow(String topic, long paceMillis, long waitMillis, RecordConsumer consumer) {
        TopicFollower follower = new TopicFollower(loop, store, topic, paceMillis, waitMillis, new TopicListener() {
            @Override
            public void onLoaded(List<KeyedRecord> records) {
                consumer.accept(records, true);
            }

            @Override
            public void onRecords(List<KeyedRecord> records) {
                consumer.accept(records, false);
            }
        });
        follower.start();
        return follower;
    }

    private void deployments(List<KeyedRecord> records, boolean all) {
        for (KeyedRecord entry : records) {
            if (!StoreForm.CONFIGURATION_KEY.equals(entry.key()) || entry.value().length == 0) {
                continue;
            }
            try {
                Deployment next = DeploymentForm.decode(entry.value());
                if (deployment == null || next.version() > deployment.version()) {
                    deployment = next;
                    Event.of("deployment")
                            .with("version", next.version())
                            .with("offset", entry.offset())
                            .info(LOGGER);
                    listener.onDeployment(next);
                }
            } catch (FormException exception) {
                Event.of("deployment-unreadable")
                        .with("offset", entry.offset())
                        .with("in-force", deployment == null ? "-" : deployment.version())
                        .with("reason", exception.getMessage())
                        .warn(LOGGER);
            }
        }
    }

    private void endpoints(List<KeyedRecord> records, boolean all) {
        if (all) {
            endpoints.loaded(records, store.reachedForMillis());
        } else {
            endpoints.changed(records, store.reachedForMillis());
        }
        listener.onEndpoints(endpoints.endpoints(), endpoints.changedOffset());
    }

    private void dropMissing() {
        if (endpoints.dropMissing(store.reachedForMillis())) {
            listener.onEndpoints(endpoints.endpoints(), endpoints.changedOffset());
        }
    }

    private void daemons(List<KeyedRecord> records, boolean all) {
        if (all) {
            daemons.clear();
        }
        for (KeyedRecord entry : records) {
            InstanceId id = new InstanceId(entry.key());
            if (entry.value().length == 0) {
                daemons.remove(id);
                continue;
            }
            try {
                daemons.put(id, DaemonForm.decode(entry.key(), entry.value()));
            } catch (FormException exception) {
                Event.of("daemon-unreadable")
                        .with("daemon", id)
                        .with("reason", exception.getMessage())
                        .warn(LOGGER);
            }
        }
        listener.onDaemons(daemons.values().stream()
                .filter(daemon -> !daemon.id().equals(self.id()))
                .toList());
    }

    /**
     * Takes records over.
     */
    @FunctionalInterface
    private interface RecordConsumer {

        void accept(List<KeyedRecord> records, boolean all);
    }
}
