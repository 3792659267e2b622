package org.ragwortpitch.edge.http;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * How long the other side keeps an idle connection, as it says.
 */
final class KeepAlive {

    static final String HEADER = "keep-alive";

    private static final Pattern TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})", Pattern.CASE_INSENSITIVE);

    private static final long MILLIS_PER_SECOND = 1_000;

    /** Stops using a connection before its announced end; a send takes that long at most in a region. */
    private static final long MARGIN_MILLIS = 500;

    private KeepAlive() {}

    static long limitMillis(String header) {
        Matcher matcher = TIMEOUT.matcher(header == null ? "" : header);
        return matcher.find()
                ? Math.max(0, Long.parseLong(matcher.group(1)) * MILLIS_PER_SECOND - MARGIN_MILLIS)
                : Long.MAX_VALUE;
    }
}
