import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Daemons that run as separate processes with the deploy file's command, each at a loopback address of its own. */
final class Fleet implements AutoCloseable {

    private final List<Daemon> daemons = new ArrayList<>();
    private final Path folder;
    private final Platform platform;
    private final Record record;

    /** One daemon, whose process may be started again. */
    final class Daemon {
        final String name;
        final String ip;
        private Process process;

        /** Where this daemon finds the store. */
        String storeAddress = platform.storeAddress();

        Daemon(String name, String ip) {
            this.name = name;
            this.ip = ip;
        }

        void start(boolean bootstrap, int keepSeconds) throws IOException {
            Path settings = folder.resolve(name + ".yaml");
            Files.writeString(settings, settings(this, bootstrap, keepSeconds));
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.environment().put("RAGWORTPITCH_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                    folder.resolve(name + ".log").toFile()));
            process = builder.start();
            record.line(name + " started, process " + process.pid());
        }

        boolean isReady() {
            return process.isAlive() && Client.get(ip, 8224, "/readiness") == 200;
        }

        boolean isAlive() {
            return process.isAlive();
        }

        /** Sends SIGTERM, as the platform does to stop a process. */
        void terminate() {
            record.say(name + " gets SIGTERM");
            process.destroy();
        }

        void signal(String signal) throws IOException {
            record.say(name + " gets SIG" + signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
        }

        void kill() {
            process.destroyForcibly();
            process.onExit().join();
        }

        String log() throws IOException {
            return Files.readString(folder.resolve(name + ".log"));
        }
    }

    Fleet(Record record, Platform platform, int count) throws IOException {
        this.record = record;
        this.platform = platform;
        folder = Files.createTempDirectory("review");
        int network = freeNetwork(count);
        for (int number = 1; number <= count; number++) {
            daemons.add(new Daemon("front-" + number, "127.77." + network + "." + number));
        }
    }

    List<Daemon> daemons() {
        return daemons;
    }

    Daemon named(String name) {
        return daemons.stream().filter(daemon -> daemon.name.equals(name)).findFirst().orElseThrow();
    }

    void startAll(int keepSeconds) throws IOException {
        for (Daemon daemon : daemons) {
            daemon.start(true, keepSeconds);
        }
        long untilMillis = System.currentTimeMillis() + 20_000;
        for (Daemon daemon : daemons) {
            while (!daemon.isReady()) {
                if (System.currentTimeMillis() > untilMillis) {
                    throw new IOException(daemon.name + " is not ready: " + daemon.log());
                }
                Times.sleep(100);
            }
        }
        record.line("all daemons are ready");
    }

    private static int freeNetwork(int count) throws IOException {
        int first = (int) (ProcessHandle.current().pid() % 250);
        for (int network = first; network < first + 250; network++) {
            try {
                for (int number = 1; number <= count; number++) {
                    for (int port : new int[] {8220, 8221, 8224, 7600, 7615}) {
                        ServerSocket socket = new ServerSocket();
                        socket.bind(new InetSocketAddress("127.77." + network % 250 + "." + number, port));
                        socket.close();
                    }
                }
                return network % 250;
            } catch (IOException taken) {
                // Tries the next network.
            }
        }
        throw new IOException("no free loopback addresses");
    }

    /** Returns the start command of the deploy file. */
    private static List<String> command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run line");
        }
        List<String> words = new ArrayList<>(List.of(run.group(1).split(" ")));
        String home = System.getProperty("java.home");
        if (words.get(0).equals("java")) {
            words.set(0, home + File.separator + "bin" + File.separator + "java");
        }
        return words;
    }

    private String settings(Daemon daemon, boolean bootstrap, int keepSeconds) {
        return String.join(
                "\n",
                "Node: \"" + daemon.name + "\"",
                "Role: \"daemon\"",
                "MachineClass: \"front\"",
                "Serves: [\"front\", \"directory\"]",
                "Ip: \"" + daemon.ip + "\"",
                "Zone: \"a\"",
                "Region: \"r\"",
                "Zones: {a: \"r\"}",
                "Listen: {Front: \"" + daemon.ip + ":8221\", Ready: \"" + daemon.ip + ":8224\", Directory: \""
                        + daemon.ip + ":8220\"}",
                "InternalPorts: [7600, 7615]",
                "Seeds: []",
                "Bootstrap: " + bootstrap,
                "Limits: {CpuShare: 0.75, Cores: 1, MemoryMb: 430, MaxFds: 4100, LinkMbps: 1000.0, DiskMb: 0}",
                "DataDir: null",
                "Discovery: \"platform\"",
                "Entry: \"directory\"",
                "HeartbeatMs: 1200",
                "Bounds: {SeedLagS: 3, ReuseAfterS: 2, ContactMs: 3000, AckMs: 4000, CatchUpS: 4, DrainMs: 2000,"
                        + " GraceS: 8, LossSlackMs: 200, ConfigApplyMs: 2000, RollbackSlackMs: 250, MaxSkewMs: 5000,"
                        + " FailClosed: false, RevokeMs: 5000, RetryBudgetRatio: 0.2, BudgetWindowS: 10,"
                        + " BudgetSlack: 54, QuotaWindowS: 8, QuotaOverage: 0.1, QuotaSlack: 190000,"
                        + " RequireFencing: true, LeaseMs: 3000, ThawSlackMs: 300, UsageWindowS: 5,"
                        + " UsageTolerance: 0.05, UsageLateS: 10, RecoveryS: 12, TransitMs: 120, RetryAfterS: 10,"
                        + " ttl_max_s: 5}",
                "Platform: {Address: \"" + daemon.storeAddress + "\", form: \"log\", WritesPerS: 400,"
                        + " ReadsPerS: 2000, parts: 12, AppendMs: 2.0, PartitionMbS: 20.0, ReadMbS: 80.0,"
                        + " RecordBytes: 262144, CallBytes: 2097152, keep_s: " + keepSeconds
                        + ", PartitionMb: 200, MinTtlMs: 1000}",
                "Cloud: {Address: \"" + platform.cloudAddress()
                        + "\", RatePerS: 50.0, Duties: [\"usage_report\", \"autoscale\"], DutiesPerS: 50.0}",
                "");
    }

    /** Ends all processes, by the handles with which they were started. */
    @Override
    public void close() {
        for (Daemon daemon : daemons) {
            if (daemon.process != null) {
                daemon.kill();
            }
        }
    }
}
