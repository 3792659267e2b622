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
 * Lets calls in: finds the route and the client account of the key. The key itself goes no further.
 */
public final class Door {

    /**
     * How request ids look.
     */
    private static final Pattern REQUEST_ID = Pattern.compile("[A-Za-z0-9._:-]{1,100}");

    /**
     * What precedes a key in its header.
     */
    private static final String BEARER = "bearer ";

    /**
     * When to try again while the rules are not known to be recent, in milliseconds.
     */
    private static final long STALE_RETRY_MILLIS = 1_000;

    /**
     * Supplies control state.
     */
    private final Supplier<Snapshot> snapshots;

    /**
     * The clocks.
     */
    private final Clocks clocks;

    /**
     * How old the rules may be when keys are trusted by them, in milliseconds.
     */
    private final long freshMillis;

    /**
     * Makes a door.
     *
     * @param snapshots   supplies control state
     * @param clocks      the clocks
     * @param freshMillis how old the rules may be when keys are trusted by them, in milliseconds
     */
    public Door(Supplier<Snapshot> snapshots, Clocks clocks, long freshMillis) {
        this.snapshots = snapshots;
        this.clocks = clocks;
        this.freshMillis = freshMillis;
    }

    /**
     * Tells the id of a request.
     *
     * @param request the request
     * @return the caller's id if it gave a proper one, or a new one
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
     * Lets a call in.
     *
     * @param request   the request
     * @param requestId its id
     * @return what is known of the call
     * @throws RefusedException if there is no such route or the key does not open it
     */
    public CallContext enter(HttpRequest request, RequestId requestId) throws RefusedException {
        long nowMillis = clocks.nowMillis();
        Snapshot snapshot = snapshots.get();
        String path = request.getUri().path();
        RouteRule route = snapshot.configuration()
                .route(path)
                .orElseThrow(() -> RefusedException.notRun(
                        ErrorKind.NOT_FOUND, "no route covers " + path + ": check the path with your operator"));
        refuseKeyInQuery(request);
        Optional<KeyHash> key = Optional.empty();
        Optional<AccountRule> account = Optional.empty();
        if (route.access() == Access.KEYED) {
            KeyHash hash = keyOf(request);
            requireFresh(snapshot, nowMillis);
            key = Optional.of(hash);
            account = Optional.of(snapshot.configuration()
                    .accountOf(hash)
                    .orElseThrow(() -> RefusedException.notRun(
                            ErrorKind.BAD_KEY, "the key is unknown or withdrawn: ask your operator for a new one")));
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
     * Refuses a call that carries a key where logs and proxies would see it.
     *
     * @param request the request
     * @throws RefusedException if it does
     */
    private static void refuseKeyInQuery(HttpRequest request) throws RefusedException {
        for (String name : new String[] {"key", "api_key", "access_token"}) {
            if (request.getUri().query().get(name).isPresent()) {
                throw RefusedException.notRun(
                        ErrorKind.BAD_REQUEST,
                        "a key stands in the query: send it in the header 'Authorization: Bearer ...' and have this "
                                + "one withdrawn, since queries are logged on the way");
            }
        }
    }

    /**
     * Reads a call's key.
     *
     * @param request the request
     * @return the key's hash
     * @throws RefusedException if there is none
     */
    private static KeyHash keyOf(HttpRequest request) throws RefusedException {
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
                    ErrorKind.BAD_KEY, "the call needs one header 'Authorization: Bearer ...' with a client key");
        }
        return KeyHash.ofKey(value.substring(BEARER.length()).strip());
    }

    /**
     * Refuses to trust keys by rules that may be outdated.
     *
     * @param snapshot  control state
     * @param nowMillis the present time, of the monotonic clock
     * @throws RefusedException if the rules may be outdated
     */
    private void requireFresh(Snapshot snapshot, long nowMillis) throws RefusedException {
        if (!snapshot.isFresh(freshMillis, nowMillis)) {
            throw RefusedException.notRunRetryAfter(
                    ErrorKind.UNAVAILABLE,
                    STALE_RETRY_MILLIS,
                    "this daemon cannot tell whether the key was withdrawn: use another address or try again later");
        }
    }

    /**
     * Finds a header.
     *
     * @param request the request
     * @param name    the header's name in lower case
     * @return its value, if it is there
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
