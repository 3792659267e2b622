package org.ragwortpitch.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import org.ragwortpitch.identity.AccountId;

/**
 * The requests that wait for room on the engines of a pool, in a fair order: by priority with ageing, then by the
 * tokens that the request's account was served lately over the whole fleet and has waiting ahead of it, per weight.
 * Confined to one thread.
 *
 * @param <T> the type of requests, which are compared by identity
 */
public final class AdmissionQueue<T> {

    /**
     * How many times as long as a request may wait its estimated wait must be for it to be refused ahead of time. The
     * estimate counts what was served recently and may be off by a factor of two while loads change.
     */
    private static final double ESTIMATE_MARGIN = 2;

    private static final Comparator<Position<?>> ACCOUNT_ORDER = Comparator.comparingDouble(Position::tokensPerWeight);

    private static final Comparator<Position<?>> FAIR_ORDER =
            Comparator.<Position<?>>comparingInt(Position::priority).thenComparing(ACCOUNT_ORDER);

    private final AdmissionBounds bounds;
    private final Map<T, WaitingRequest<T>> waiting = new IdentityHashMap<>();
    private final List<WaitingRequest<T>> byArrival = new ArrayList<>();
    private long bytes;

    /**
     * Creates an empty queue.
     */
    public AdmissionQueue(AdmissionBounds bounds) {
        this.bounds = bounds;
    }

    /**
     * Adds a request, also beyond the bounds; {@link #removeExcess} restores them.
     */
    public void add(WaitingRequest<T> request) {
        waiting.put(request.item(), request);
        byArrival.add(request);
        bytes += request.bytes();
    }

    /**
     * Removes a request, for example one whose caller has left.
     *
     * @return the request; empty if it does not wait
     */
    public Optional<WaitingRequest<T>> remove(T item) {
        WaitingRequest<T> request = waiting.remove(item);
        if (request != null) {
            byArrival.removeIf(other -> other == request);
            bytes -= request.bytes();
        }
        return Optional.ofNullable(request);
    }

    /**
     * Removes and returns the first request, in the fair order, that can be served now.
     *
     * @param servedTokens the tokens that an account was served lately
     * @param servable     called in the fair order until it matches
     * @return empty if none can be served now
     */
    public Optional<WaitingRequest<T>> next(
            ToDoubleFunction<AccountId> servedTokens, Predicate<WaitingRequest<T>> servable, long nowMillis) {
        for (WaitingRequest<T> request : inOrder(servedTokens, nowMillis)) {
            if (servable.test(request)) {
                return remove(request.item());
            }
        }
        return Optional.empty();
    }

    /**
     * Removes and returns the requests whose first event can't come in time any more, or will not by a wide margin
     * behind those ahead of them.
     *
     * @param tokensPerMilli the tokens that waiting requests were lately served in a millisecond; empty if unknown
     */
    public List<WaitingRequest<T>> removeLate(
            ToDoubleFunction<AccountId> servedTokens, OptionalDouble tokensPerMilli, long nowMillis) {
        List<WaitingRequest<T>> late = new ArrayList<>();
        List<Position<T>> positions = positions(servedTokens, nowMillis);
        Map<T, Double> aheadTokens = new IdentityHashMap<>();
        // As priorities age, a request waits at most for those that come first by their accounts alone.
        for (Comparator<Position<?>> order : List.of(FAIR_ORDER, ACCOUNT_ORDER)) {
            double ahead = 0;
            for (Position<T> position : positions.stream().sorted(order).toList()) {
                aheadTokens.merge(position.request().item(), ahead, Math::min);
                ahead += position.request().tokens();
            }
        }
        for (Position<T> position : positions) {
            double leftMillis = position.request().latestStartMillis() - nowMillis;
            double ahead = aheadTokens.get(position.request().item());
            double waitMillis = tokensPerMilli.isPresent() ? ahead / tokensPerMilli.getAsDouble() : 0;
            if (leftMillis <= 0 || waitMillis > ESTIMATE_MARGIN * leftMillis) {
                late.add(position.request());
            }
        }
        late.forEach(request -> remove(request.item()));
        return late;
    }

    /**
     * Removes and returns the requests beyond the bounds: the least urgent and latest ones of the accounts that have
     * the most waiting, relative to their weights.
     */
    public List<WaitingRequest<T>> removeExcess(long nowMillis) {
        List<WaitingRequest<T>> removed = new ArrayList<>();
        while (waiting.size() > bounds.maxRequests() || bytes > bounds.maxBytes()) {
            boolean byBytes = bytes > bounds.maxBytes();
            AccountId largest = largestAccount(byBytes ? WaitingRequest::bytes : WaitingRequest::tokens);
            WaitingRequest<T> last = byUrgency(nowMillis).stream()
                    .filter(request -> request.account().equals(largest))
                    .reduce((one, other) -> other)
                    .orElseThrow();
            remove(last.item());
            removed.add(last);
        }
        return removed;
    }

    private AccountId largestAccount(ToLongFunction<WaitingRequest<T>> size) {
        Map<AccountId, Double> sizes = byArrival.stream()
                .collect(Collectors.groupingBy(
                        WaitingRequest::account,
                        Collectors.summingDouble(
                                request -> size.applyAsLong(request) / (double) Math.max(1, request.weight()))));
        return sizes.entrySet().stream()
                .max(Map.Entry.<AccountId, Double>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .orElseThrow()
                .getKey();
    }

    private List<WaitingRequest<T>> inOrder(ToDoubleFunction<AccountId> servedTokens, long nowMillis) {
        return positions(servedTokens, nowMillis).stream()
                .sorted(FAIR_ORDER)
                .map(Position::request)
                .toList();
    }

    private List<Position<T>> positions(ToDoubleFunction<AccountId> servedTokens, long nowMillis) {
        Map<AccountId, Double> tokensByAccount = new HashMap<>();
        List<Position<T>> positions = new ArrayList<>();
        for (WaitingRequest<T> request : byUrgency(nowMillis)) {
            double before = tokensByAccount.computeIfAbsent(request.account(), servedTokens::applyAsDouble);
            positions.add(
                    new Position<>(request, request.agedPriority(nowMillis), before / Math.max(1, request.weight())));
            tokensByAccount.put(request.account(), before + request.tokens());
        }
        return positions;
    }

    private List<WaitingRequest<T>> byUrgency(long nowMillis) {
        List<WaitingRequest<T>> sorted = new ArrayList<>(byArrival);
        sorted.sort(Comparator.comparingInt(request -> request.agedPriority(nowMillis)));
        return sorted;
    }

    /**
     * Returns whether a request waits.
     */
    public boolean contains(T item) {
        return waiting.containsKey(item);
    }

    /**
     * Returns the number of requests.
     */
    public int size() {
        return waiting.size();
    }

    /**
     * Returns the memory that they hold, in bytes.
     */
    public long bytes() {
        return bytes;
    }

    /**
     * A request with its place in the order.
     */
    private record Position<T>(WaitingRequest<T> request, int priority, double tokensPerWeight) {}
}
