import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A daemon of the system in a process of its own, started with the command of the deploy file. */
final class Daemon implements AutoCloseable {

    private final Path root;
    private final Path settings;
    private final Path log;
    private final String name;
    private final String zone;
    private final String ip;
    private final String store;
    private final String cloud;
    private final boolean fenced;
    private Process process;

    /**
     * Creates a daemon that does not run yet.
     *
     * @param ip     a loopback address that no other process uses
     * @param store  the address of the platform's store
     * @param cloud  the address of the platform's API
     * @param fenced whether the API checks fence numbers
     */
    Daemon(
            Path root,
            Path directory,
            String name,
            String zone,
            String ip,
            String store,
            String cloud,
            boolean fenced) {
        this.root = root;
        this.settings = directory.resolve(name + ".yaml");
        this.log = directory.resolve(name + ".log");
        this.name = name;
        this.zone = zone;
        this.ip = ip;
        this.store = store;
        this.cloud = cloud;
        this.fenced = fenced;
    }

    String name() {
        return name;
    }

    String ip() {
        return ip;
    }

    /**
     * Starts the process, which ends with this one at the latest.
     *
     * @param bootstrap whether the whole system starts for the first time
     */
    void start(boolean bootstrap) throws IOException {
        writeSettings(bootstrap);
        ProcessBuilder builder = new ProcessBuilder(command()).directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("RAGWORTPITCH_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    private List<String> command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"([^\"]*)\"")
                .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run line");
        }
        return new ArrayList<>(List.of(run.group(1).split(" ")));
    }

    private void writeSettings(boolean bootstrap) throws IOException {
        Files.writeString(
                settings,
                String.join(
                        "\n",
                        "Node: \"" + name + "\"",
                        "Role: \"daemon\"",
                        "MachineClass: \"front\"",
                        "Serves: [\"front\", \"directory\"]",
                        "Ip: \"" + ip + "\"",
                        "Zone: \"" + zone + "\"",
                        "Region: \"r\"",
                        "Zones: {z1: \"r\", z2: \"r\", z3: \"r\"}",
                        "Listen: {Front: \"" + ip + ":8221\", Ready: \"" + ip + ":8224\", Directory: \"" + ip + ":8220\"}",
                        "InternalPorts: [7600, 7615]",
                        "Seeds: []",
                        "Bootstrap: " + bootstrap,
                        "Limits: {CpuShare: 0.75, Cores: 1, MemoryMb: 430, MaxFds: 4100, LinkMbps: 1000.0, DiskMb: 0}",
                        "Discovery: \"platform\"",
                        "Entry: \"directory\"",
                        "HeartbeatMs: 1200",
                        "FaultTolerance: {Machines: 2, Zones: 0, Regions: 0}",
                        "Bounds: {SeedLagS: 3, ReuseAfterS: 2, ContactMs: 3000, AckMs: 4000, CatchUpS: 4, DrainMs: 2000,"
                                + " GraceS: 8, LossSlackMs: 200, ConfigApplyMs: 2000, RollbackSlackMs: 250,"
                                + " MaxSkewMs: 5000, FailClosed: false, RevokeMs: 5000, RetryBudgetRatio: 0.2,"
                                + " BudgetWindowS: 10, BudgetSlack: 54, QuotaWindowS: 8, QuotaOverage: 0.1,"
                                + " QuotaSlack: 190000, RequireFencing: " + fenced + ", LeaseMs: 3000, ThawSlackMs: 300,"
                                + " UsageWindowS: 5, UsageTolerance: 0.05, UsageLateS: 10, RecoveryS: 12,"
                                + " TransitMs: 120, RetryAfterS: 10, ttl_max_s: 5}",
                        "Platform: {Address: \"" + store + "\", form: \"log\", WritesPerS: 400, ReadsPerS: 2000}",
                        "Cloud: {Address: \"" + cloud + "\", Duties: [\"usage_report\", \"autoscale\"]}",
                        ""));
    }

    /** Sends a signal to the process. */
    void signal(String signal) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (InterruptedException exception) {
            throw new IOException(exception);
        }
    }

    /** Waits until the daemon counts as ready. */
    void awaitReady(long millis) throws IOException {
        long until = Threads.millis() + millis;
        while (!isReady()) {
            if (Threads.millis() > until) {
                throw new IOException(name + " is not ready: " + Files.readString(log));
            }
            Threads.sleep(50);
        }
    }

    private boolean isReady() {
        return Client.status(ip, 8224, "/readiness") == 200;
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly().onExit().join();
        }
    }
}
