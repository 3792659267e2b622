import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A new version of the configuration adds a model service, whose runners have registered before, and a route to it. The
 * rule: in steady state, routes that were added later are served at least a quarter as often as the first ones.
 */
final class LaterServiceCase {

    private static final String LOOK = "{\"Name\":\"look\",\"Host\":\"site.example\",\"PathPrefix\":\"/look/\","
            + "\"Kind\":\"safe\",\"TimeoutMs\":1000,\"TargetLatencyMs\":100,\"Priority\":2,\"Service\":\"app\","
            + "\"MaxAttempts\":2,\"AllowAnonymous\":false}";

    private static final String ASK = route("ask", "llm");

    private static final String ADDED = route("added", "llm-new");

    private static final String APP =
            "{\"Name\":\"app\",\"HealthPath\":\"/health\",\"MaxConnections\":100,\"Protocol\":\"h1\",\"Tls\":false}";

    private static final String LLM = model("llm");

    private static final String LLM_NEW = model("llm-new");

    private static String route(String name, String service) {
        return "{\"Name\":\"" + name + "\",\"Host\":\"site.example\",\"PathPrefix\":\"/" + name + "/\","
                + "\"Kind\":\"streaming\",\"TimeoutMs\":6000,\"TargetLatencyMs\":600,\"Priority\":1,\"Service\":\""
                + service + "\",\"MaxAttempts\":2,\"AllowAnonymous\":false,\"SessionAffinity\":true,"
                + "\"AllowResume\":true,\"TargetGapMs\":150}";
    }

    private static String model(String name) {
        return "{\"Name\":\"" + name + "\",\"HealthPath\":\"/health\",\"MaxConnections\":360,\"Protocol\":\"h1\","
                + "\"Tls\":false,\"Engine\":{\"Slots\":64,\"KvCapacityTokens\":546098,\"KvTokenBytes\":163840,"
                + "\"LinkMbps\":1700000.0,\"KvTtlS\":5.0,\"RoleSwitchS\":3.0,\"Models\":[{\"Name\":\"m\"}]}}";
    }

    private static String config(int version, String routes, String services) {
        return "{\"Version\":" + version + ",\"Routes\":[" + routes + "],\"Services\":[" + services
                + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
                + "\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"one\",\"ApiKeys\":[\"key1\"],"
                + "\"Unit\":\"generate\",\"PlainTokens\":200,\"RatePerS\":381222,\"Burst\":381222}]}";
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = Trouble.begin();
        Record record = new Record(Path.of(arguments[0], "record.txt"));
        Platform platform = new Platform(record, 300_000);
        Fleet fleet = new Fleet(record, platform, 3);
        Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
        String whole = config(7, LOOK + "," + ASK + "," + ADDED, APP + "," + LLM + "," + LLM_NEW);
        platform.put("keyed.op", "config", trouble ? config(3, LOOK + "," + ASK, APP + "," + LLM) : whole);
        List<Runner> added = new ArrayList<>();
        List<Runner> first = new ArrayList<>();
        for (int number = 1; number <= 2; number++) {
            new Runner(record, platform, "i-app-" + number, "app", "");
            first.add(new Runner(record, platform, "i-llm-" + number, "llm", "decode"));
        }
        try {
            fleet.startAll(300);
        } catch (java.io.IOException exception) {
            record.say("could not run: " + exception.getMessage());
            System.exit(2);
        }
        Times.sleep(2_000);
        for (int number = 1; number <= 2; number++) {
            added.add(new Runner(record, platform, "i-new-" + number, "llm-new", "decode"));
        }
        record.say("the runners of llm-new have registered");
        Times.sleep(6_000);
        if (trouble) {
            platform.put("keyed.op", "config", whole);
            record.say("version 7 is acknowledged: it adds the service llm-new and the route /added/ to it");
        }
        // ConfigApplyMs is 2 s, steady state is taken to begin 3 s later.
        Times.sleep(5_000);
        int servedFirst = 0;
        int servedAdded = 0;
        int closed = 0;
        for (int round = 0; round < 20; round++) {
            for (Fleet.Daemon daemon : fleet.daemons()) {
                servedFirst += Client.generation(record, daemon.ip, "/ask/x", "key1").status() == 200 ? 1 : 0;
                int status = Client.generation(record, daemon.ip, "/added/x", "key1").status();
                servedAdded += status == 200 ? 1 : 0;
                closed += status == 0 ? 1 : 0;
            }
            Times.sleep(300);
        }
        boolean broken = servedAdded * 4 < servedFirst;
        record.say("of 60 requests each, served on the first route: " + servedFirst + ", on the added route: "
                + servedAdded + ", channels closed without an answer: " + closed);
        record.say(broken ? "CONFIG: requests on the route added later are served less than a quarter as often"
                : "rule held");
        System.exit(servedFirst < 30 ? 2 : broken ? 1 : 0);
    }
}
