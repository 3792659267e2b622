/** The operator's configuration: one host with a safe and an unsafe route to a plain service, and one tenant. */
final class Deployment {

    static final String HOST = "h.example";

    static final String KEY = "key-1";

    static final String SERVICE = "app";

    static final String OTHER_SERVICE = "app-2";

    private Deployment() {}

    private static String service(String name) {
        return "{\"Name\":\"" + name + "\",\"HealthPath\":\"/health\",\"MaxConnections\":100}";
    }

    /** Returns a version of the configuration. */
    static String version(long version, String keys, String routes) {
        return version(version, keys, routes, 194_713);
    }

    /** Returns a version of the configuration with another limit, in tokens a second and as burst. */
    static String version(long version, String keys, String routes, long limit) {
        return "{\"Version\":" + version + ",\"Routes\":[" + routes + "],\"Services\":[" + service(SERVICE) + "," + service(OTHER_SERVICE) + "],"
                + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
                + "\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"t1\",\"ApiKeys\":[" + keys + "],\"Priority\":1,"
                + "\"Unit\":\"generate\",\"PlainTokens\":200,\"RatePerS\":" + limit + ",\"Burst\":" + limit + "}]}";
    }

    /** Returns a version with another limit on the bytes of a request's headers. */
    static String withHeaderLimit(String version, int bytes) {
        return version.replace("\"MaxHeaderBytes\":16384", "\"MaxHeaderBytes\":" + bytes);
    }

    static String key(String key) {
        return "\"" + key + "\"";
    }

    static String route(String name, String kind, int timeoutMillis) {
        return route(name, kind, timeoutMillis, SERVICE);
    }

    static String route(String name, String kind, int timeoutMillis, String service) {
        return "{\"Name\":\"" + name + "\",\"Host\":\"" + HOST + "\",\"PathPrefix\":\"/" + name + "/\",\"Kind\":\"" + kind
                + "\",\"TimeoutMs\":" + timeoutMillis + ",\"TargetLatencyMs\":100,\"Priority\":2,\"Service\":\"" + service
                + "\",\"MaxAttempts\":2,\"AllowAnonymous\":false,\"SessionAffinity\":false,\"AllowResume\":false}";
    }
}
