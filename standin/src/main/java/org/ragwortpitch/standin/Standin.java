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
import org.ragwortpitch.http.HttpServing;

/**
 * A running stand-in for the platform, engines and plain services.
 */
public final class Standin implements AutoCloseable {

    /**
     * How long a connection may stay silent, in milliseconds.
     */
    private static final long IDLE_MILLIS = 600_000;

    /**
     * The actor system of all connections.
     */
    private final ActorSystem system;

    /**
     * Wakes waiting reads.
     */
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

    /**
     * Where each part is reached: the platform, then the engines, then the services.
     */
    private final List<String> addresses = new ArrayList<>();

    /**
     * Starts a stand-in.
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
        Map<String, Integer> runs = new HashMap<>();
        for (int service = 0; service < settings.services(); service++) {
            bind(settings, new ServiceHandler(system, faults, runs));
        }
    }

    /**
     * Serves the next part.
     *
     * @param settings the settings
     * @param handler  what answers
     */
    private void bind(StandinSettings settings, Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
        ServerBinding binding = HttpServing.bind(
                        system,
                        settings.listenHost(),
                        settings.port(addresses.size()),
                        IDLE_MILLIS,
                        IDLE_MILLIS,
                        handler)
                .toCompletableFuture()
                .join();
        addresses.add(settings.listenHost() + ":" + binding.localAddress().getPort());
    }

    /**
     * Tells where the platform is reached.
     *
     * @return the address, as host and port
     */
    public String platform() {
        return addresses.get(0);
    }

    /**
     * Tells where each part is reached.
     *
     * @return the platform's address, then those of the engines and the services
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
