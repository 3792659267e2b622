package org.ragwortpitch.edge.control;

import io.netty.channel.EventLoop;
import java.lang.System.Logger;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.ragwortpitch.adapter.CodecException;
import org.ragwortpitch.adapter.DaemonCodec;
import org.ragwortpitch.adapter.KeyedRecord;
import org.ragwortpitch.adapter.StoreCodec;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.edge.task.FaultBarrier;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.ledger.DaemonIncarnation;
import org.ragwortpitch.logging.Event;

/**
 * The daemons that are listed in the store, among them this one. Confined to the control thread.
 */
final class DaemonRegistry {

    private static final Logger LOGGER = System.getLogger(DaemonRegistry.class.getName());

    private static final long REGISTER_RETRY_MILLIS = 500;

    private final EventLoop loop;
    private final StoreClient store;
    private final Daemon self;
    private final Consumer<Collection<Daemon>> onDaemons;
    private final Consumer<String> onEnded;
    private final FaultBarrier barrier = new FaultBarrier("apply daemon");
    private final OddEntries oddDaemons = new OddEntries("daemon-unreadable", "daemon");
    private final Map<InstanceId, Daemon> daemons = new HashMap<>();

    /**
     * Creates a registry without daemons.
     *
     * @param onDaemons called with all other listed daemons after each change
     * @param onEnded   called with the member's name of each incarnation that a later one has replaced
     */
    DaemonRegistry(
            EventLoop loop,
            StoreClient store,
            Daemon self,
            Consumer<Collection<Daemon>> onDaemons,
            Consumer<String> onEnded) {
        this.loop = loop;
        this.store = store;
        this.self = self;
        this.onDaemons = onDaemons;
        this.onEnded = onEnded;
    }

    /**
     * Returns the name of an incarnation of a daemon as a member of the duties' group.
     */
    static String memberName(Daemon daemon) {
        return daemon.id().value() + "-" + daemon.startMillis();
    }

    /**
     * Returns the listed incarnations.
     */
    Set<DaemonIncarnation> incarnations() {
        return daemons.values().stream()
                .map(daemon -> new DaemonIncarnation(daemon.id(), daemon.startMillis()))
                .collect(Collectors.toSet());
    }

    /**
     * Writes this daemon's entry, and repeats it until the store has it.
     */
    void register() {
        byte[] record = StoreCodec.encodeKeyed(self.id().value(), DaemonCodec.encode(self));
        store.call(
                StoreCodec.append(DaemonCodec.TOPIC, List.of(record)),
                0,
                response -> {
                    if (!response.isOk()) {
                        retryRegister("status " + response.status());
                    }
                },
                this::retryRegister);
    }

    private void retryRegister(String reason) {
        Event.of("daemon-not-listed").with("reason", reason).info(LOGGER);
        loop.schedule(this::register, REGISTER_RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Applies records of the topic; a snapshot replaces all earlier ones.
     */
    void apply(List<KeyedRecord> records, boolean snapshot) {
        // Entries that a restore of the store has taken are written again; until then gossip shows which daemons run.
        if (snapshot && store.era().equals(store.firstEra())) {
            daemons.clear();
        }
        records.forEach(entry -> barrier.run(entry.key(), () -> apply(entry)));
        onDaemons.accept(daemons.values().stream()
                .filter(daemon -> !daemon.id().equals(self.id()))
                .toList());
    }

    /** Applies an entry. One that can't be used leaves the daemon's earlier one, as gossip shows whether it runs. */
    private void apply(KeyedRecord entry) {
        InstanceId id = new InstanceId(entry.key());
        if (entry.value().length == 0) {
            daemons.remove(id);
            oddDaemons.forget(entry.key());
            return;
        }
        try {
            Daemon listed = DaemonCodec.decode(entry.key(), entry.value());
            Optional<Daemon> before = Optional.ofNullable(daemons.put(id, listed));
            oddDaemons.forget(entry.key());
            endEarlier(before, listed);
            if (id.equals(self.id())) {
                endEarlier(Optional.of(listed), self);
            }
        } catch (CodecException exception) {
            oddDaemons.report(entry, exception);
        }
    }

    /** Reports that an earlier incarnation of a daemon has ended, as a later one can't run beside it. */
    private void endEarlier(Optional<Daemon> earlier, Daemon later) {
        earlier.filter(daemon -> daemon.startMillis() < later.startMillis())
                .ifPresent(daemon -> onEnded.accept(memberName(daemon)));
    }
}
