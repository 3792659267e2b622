package org.ragwortpitch.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.japi.function.Function;
import org.ragwortpitch.http.HttpServers;

/**
 * Runs stand-ins for the platform, engines and plain services, each on a port of its own.
 */
public final class Standin implements AutoCloseable {

    private static final long IDLE_TIMEOUT_MILLIS = 600_000;

    private final ActorSystem system;

    /**
     * Polls for records on behalf of waiting reads.
     */
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

    /**
     * The addresses of the platform, the engines and the services, in this order.
     */
    private final List<String> addresses = new ArrayList<>();

    /**
     * Starts the stand-ins and returns once all ports are bound. Engines with an even index check fencing tokens, the
     * others don't.
     *
     * @param settings the settings
     */
    public Standin(StandinSettings settings) {
        this.system = ActorSystem.create("standin");
        FaultSwitch faults = new FaultSwitch(settings.seed());
        LogStandin log = new LogStandin(settings.logRecords(), timer, faults);
        bind(settings, new PlatformHandler(system, log, new UsageStandin(), faults));
        for (int engine = 0; engine < settings.engines(); engine++) {
            EngineStandin standin = new EngineStandin(settings.speed(), engine % 2 == 0, faults);
            bind(settings, new EngineHandler(system, standin));
        }
        Map<String, Integer> executions = new HashMap<>();
        for (int service = 0; service < settings.services(); service++) {
            bind(settings, new ServiceHandler(system, faults, executions));
        }
    }

    /**
     * Binds the next server to its port.
     */
    private void bind(StandinSettings settings, Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
        ServerBinding binding = HttpServers.bind(
                        system,
                        settings.listenHost(),
                        settings.port(addresses.size()),
                        IDLE_TIMEOUT_MILLIS,
                        IDLE_TIMEOUT_MILLIS,
                        handler)
                .toCompletableFuture()
                .join();
        addresses.add(settings.listenHost() + ":" + binding.localAddress().getPort());
    }

    /**
     * Returns the platform's address, as host:port.
     */
    public String platform() {
        return addresses.get(0);
    }

    /**
     * Returns the addresses of the platform, the engines and the services, in this order, as host:port.
     */
    public List<String> addresses() {
        return List.copyOf(addresses);
    }

    @Override
    public void close() {
        timer.shutdownNow();
        system.terminate();
        system.getWhenTerminated().toCompletableFuture().join();
    }
}
