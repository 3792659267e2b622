package org.ragwortpitch.edge.http;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the idle timeout that a peer announces in its {@code Keep-Alive} header.
 */
final class KeepAlive {

    static final String HEADER = "keep-alive";

    private static final Pattern TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})", Pattern.CASE_INSENSITIVE);

    private static final long MILLIS_PER_SECOND = 1_000;

    /** Reuse ends this long before the announced timeout: the longest that sending takes within a region. */
    private static final long MARGIN_MILLIS = 500;

    private KeepAlive() {}

    static long limitMillis(String header) {
        Matcher matcher = TIMEOUT.matcher(header == null ? "" : header);
        return matcher.find()
                ? Math.max(0, Long.parseLong(matcher.group(1)) * MILLIS_PER_SECOND - MARGIN_MILLIS)
                : Long.MAX_VALUE;
    }
}
