package org.ragwortpitch.edge.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.ragwortpitch.identity.SoftwareVersion;

/**
 * What a daemon that passes a request on tells the one that takes it.
 *
 * @param configuration version of the configuration that it has applied; an older one must not handle the request
 * @param executions    how many times endpoints may have executed the request
 * @param counted       whether it has counted the request for the retry budget
 * @param streamVersion the software version that began the stream in this response; empty if it has not begun
 */
record ProxyHop(long configuration, int executions, boolean counted, Optional<SoftwareVersion> streamVersion) {

    /** Header of a request that was passed on. */
    static final String HEADER = "ragwortpitch-proxied";

    /** Header of a response that declines such a request: it was not executed and may be passed to another daemon. */
    static final String DECLINED = "ragwortpitch-proxy-declined";

    private static final String CONFIGURATION = "configuration";

    private static final String EXECUTIONS = "executions";

    private static final String COUNTED = "counted";

    private static final String STREAM_VERSION = "stream-version";

    /**
     * Returns whether the account has been charged for the request.
     */
    boolean charged() {
        return executions > 0;
    }

    String encode() {
        String fields = CONFIGURATION + "=" + configuration + ";" + EXECUTIONS + "=" + executions + ";" + COUNTED + "="
                + counted;
        return streamVersion
                .map(version -> fields + ";" + STREAM_VERSION + "=" + version.value())
                .orElse(fields);
    }

    /**
     * Decodes a header; empty if it is missing or malformed.
     */
    static Optional<ProxyHop> decode(String header) {
        if (header == null) {
            return Optional.empty();
        }
        Map<String, String> fields = new HashMap<>();
        for (String field : header.split(";")) {
            int equals = field.indexOf('=');
            if (equals > 0) {
                fields.put(field.substring(0, equals), field.substring(equals + 1));
            }
        }
        try {
            return Optional.of(new ProxyHop(
                    Long.parseLong(fields.getOrDefault(CONFIGURATION, "")),
                    Integer.parseInt(fields.getOrDefault(EXECUTIONS, "")),
                    Boolean.parseBoolean(fields.get(COUNTED)),
                    Optional.ofNullable(fields.get(STREAM_VERSION)).map(SoftwareVersion::new)));
        } catch (NumberFormatException exception) {
            return Optional.empty();
        }
    }
}
