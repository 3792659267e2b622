package org.ragwortpitch.gateway;

import com.fasterxml.uuid.Generators;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.ragwortpitch.configuration.Access;
import org.ragwortpitch.configuration.AccountRule;
import org.ragwortpitch.configuration.RouteRule;
import org.ragwortpitch.control.Clocks;
import org.ragwortpitch.control.Snapshot;
import org.ragwortpitch.identity.KeyHash;
import org.ragwortpitch.identity.RequestId;
import org.ragwortpitch.refusal.ErrorKind;
import org.ragwortpitch.refusal.RefusedException;

/**
 * Finds the route of a call and, where the route requires it, authenticates the client account by its API key. Only a
 * hash of the key is passed on.
 */
public final class RequestAuthenticator {

    private static final Pattern REQUEST_ID = Pattern.compile("[A-Za-z0-9._:-]{1,100}");

    /**
     * The scheme of the {@code Authorization} header, in lower case.
     */
    private static final String BEARER = "bearer ";

    /**
     * The retry delay to suggest while the configuration may be outdated, in milliseconds.
     */
    private static final long STALE_RETRY_MILLIS = 1_000;

    private final Supplier<Snapshot> snapshots;

    private final Clocks clocks;

    private final long freshMillis;

    /**
     * Creates an authenticator.
     *
     * @param snapshots   supplies the latest snapshot of the control state
     * @param clocks      the clocks
     * @param freshMillis the maximum age of the configuration that keys are checked with, in milliseconds
     */
    public RequestAuthenticator(Supplier<Snapshot> snapshots, Clocks clocks, long freshMillis) {
        this.snapshots = snapshots;
        this.clocks = clocks;
        this.freshMillis = freshMillis;
    }

    /**
     * Returns the id of a request.
     *
     * @param request the request
     * @return the {@code X-Request-Id} that the caller sent if it is 1 to 100 letters, digits or {@code . _ : -};
     *     otherwise a new time-ordered UUID
     */
    public static RequestId requestId(HttpRequest request) {
        String given = header(request, "x-request-id").orElse("");
        if (REQUEST_ID.matcher(given).matches()) {
            return new RequestId(given);
        }
        return new RequestId(
                Generators.timeBasedEpochRandomGenerator().generate().toString());
    }

    /**
     * Authenticates a call.
     *
     * @param request   the request
     * @param requestId its id
     * @return the context of the call
     * @throws RefusedException if no route matches, a key is in the query, the key is missing or unknown, or the
     *     configuration is too old to tell whether the key is still valid
     */
    public CallContext authenticate(HttpRequest request, RequestId requestId) throws RefusedException {
        long nowMillis = clocks.nowMillis();
        Snapshot snapshot = snapshots.get();
        String path = request.getUri().path();
        RouteRule route = snapshot.configuration()
                .route(path)
                .orElseThrow(() -> RefusedException.notRun(
                        ErrorKind.NOT_FOUND, "no route matches " + path + ": check the path with your operator"));
        rejectKeyInQuery(request);
        Optional<KeyHash> key = Optional.empty();
        Optional<AccountRule> account = Optional.empty();
        if (route.access() == Access.KEYED) {
            KeyHash hash = readKeyHash(request);
            requireFresh(snapshot, nowMillis);
            key = Optional.of(hash);
            account = Optional.of(snapshot.configuration()
                    .accountOf(hash)
                    .orElseThrow(() -> RefusedException.notRun(
                            ErrorKind.BAD_KEY,
                            "the API key is unknown or withdrawn: ask your operator for a new key")));
        }
        return new CallContext(
                requestId,
                route,
                account,
                key,
                snapshot.configuration(),
                System.nanoTime(),
                nowMillis + route.deadlineMillis());
    }

    /**
     * Refuses calls that carry a key in the query, where logs and proxies would record it.
     */
    private static void rejectKeyInQuery(HttpRequest request) throws RefusedException {
        for (String name : new String[] {"key", "api_key", "access_token"}) {
            if (request.getUri().query().get(name).isPresent()) {
                throw RefusedException.notRun(
                        ErrorKind.BAD_REQUEST,
                        "the query contains an API key: send it in the header 'Authorization: Bearer ...' and have it "
                                + "withdrawn, since proxies log queries");
            }
        }
    }

    private static KeyHash readKeyHash(HttpRequest request) throws RefusedException {
        int headers = 0;
        String value = "";
        for (HttpHeader header : request.getHeaders()) {
            if (header.lowercaseName().equals("authorization")) {
                headers++;
                value = header.value();
            }
        }
        if (headers != 1 || !value.toLowerCase(Locale.ROOT).startsWith(BEARER)) {
            throw RefusedException.notRun(
                    ErrorKind.BAD_KEY, "exactly one header 'Authorization: Bearer ...' with an API key is required");
        }
        return KeyHash.ofKey(value.substring(BEARER.length()).strip());
    }

    /**
     * Refuses to authenticate with a configuration that may be outdated: the key may have been withdrawn since.
     */
    private void requireFresh(Snapshot snapshot, long nowMillis) throws RefusedException {
        if (!snapshot.isFresh(freshMillis, nowMillis)) {
            throw RefusedException.notRunRetryAfter(
                    ErrorKind.UNAVAILABLE,
                    STALE_RETRY_MILLIS,
                    "this daemon's configuration is too old to check the key: use another address or retry later");
        }
    }

    /**
     * Returns the value of a header.
     *
     * @param request the request
     * @param name    the header's name in lower case
     * @return the value of the first such header, if any
     */
    static Optional<String> header(HttpRequest request, String name) {
        for (HttpHeader header : request.getHeaders()) {
            if (header.lowercaseName().equals(name)) {
                return Optional.of(header.value());
            }
        }
        return Optional.empty();
    }
}
