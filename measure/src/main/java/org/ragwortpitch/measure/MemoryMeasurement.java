package org.ragwortpitch.measure;

import java.io.PrintStream;
import java.util.function.IntFunction;
import org.ragwortpitch.configuration.Configuration;
import org.ragwortpitch.configuration.InvalidRulesException;
import org.ragwortpitch.controllog.LogRecord;
import org.ragwortpitch.controllog.OperationStarted;
import org.ragwortpitch.controllog.UsageRecorded;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.OperationId;
import org.ragwortpitch.identity.RequestId;
import org.ragwortpitch.limit.TokenBucket;
import org.ragwortpitch.operation.OperationReducer;
import org.ragwortpitch.routing.PrefixBlockIndex;
import org.ragwortpitch.usage.UsageEntry;
import org.ragwortpitch.usage.UsageReducer;

/**
 * Measures the memory of each kind of state as the slope between two sizes. Sizes are differences of the heap in use
 * after garbage collection, so that constant overhead cancels out.
 */
final class MemoryMeasurement implements Measurement {

    /**
     * Number of items at the lower end of the slope.
     */
    private static final int SMALL = 2_000;

    /**
     * Number of items at the upper end of the slope.
     */
    private static final int LARGE = 22_000;

    @Override
    public void run(Arguments arguments, PrintStream table) {
        table.println("what,bytes_each,microseconds_each_to_build");
        row(table, "account rule with key", MemoryMeasurement::accounts);
        row(table, "endpoint rule", MemoryMeasurement::endpoints);
        row(table, "token bucket", MemoryMeasurement::buckets);
        row(table, "counted request", MemoryMeasurement::countedRequests);
        row(table, "remembered operation", MemoryMeasurement::operations);
        row(table, "cached piece", MemoryMeasurement::prefixBlocks);
    }

    /**
     * Prints the row of one kind of state. A first build warms up the code.
     *
     * @param name  the kind, the first column
     * @param state builds the state with a given number of items
     */
    private static void row(PrintStream table, String name, IntFunction<Object> state) {
        state.apply(SMALL);
        long small = bytes(state, SMALL);
        long large = bytes(state, LARGE);
        long startNanos = System.nanoTime();
        state.apply(LARGE);
        double micros = (System.nanoTime() - startNanos) / 1e3 / LARGE;
        table.printf("%s,%d,%.2f%n", name, (large - small) / (LARGE - SMALL), micros);
    }

    /**
     * Returns the heap growth from building a state, in bytes.
     */
    private static long bytes(IntFunction<Object> state, int size) {
        long before = usedHeapBytes();
        Object held = state.apply(size);
        long after = usedHeapBytes();
        if (held == null) {
            throw new IllegalStateException("no state was built");
        }
        return after - before;
    }

    /**
     * Returns the heap in use after garbage collection, in bytes.
     */
    private static long usedHeapBytes() {
        for (int round = 0; round < 4; round++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /**
     * Builds a configuration with client accounts that have one key each.
     */
    private static Object accounts(int size) {
        StringBuilder rules = new StringBuilder();
        for (int index = 0; index < size; index++) {
            rules.append("account account-").append(index);
            rules.append(" tokens-per-second=1000 burst-tokens=9000 requests-per-second=9 burst-requests=90 # Ana\n");
            rules.append("key key-").append(index).append(" account=account-").append(index);
            rules.append(" sha256=").append(String.format("%064x", index)).append(" # Ana\n");
        }
        return parse(rules.toString());
    }

    /**
     * Builds a configuration with endpoints in one pool.
     */
    private static Object endpoints(int size) {
        StringBuilder rules = new StringBuilder("failure-domain f # Ana\npool p serves=model # Ana\n");
        for (int index = 0; index < size; index++) {
            rules.append("endpoint endpoint-").append(index);
            rules.append(" pool=p failure-domain=f address=10.0.0.1:9000 fencing=checked # Ana\n");
        }
        return parse(rules.toString());
    }

    private static Configuration parse(String rules) {
        try {
            return Configuration.parse(rules);
        } catch (InvalidRulesException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static Object buckets(int size) {
        TokenBucket[] buckets = new TokenBucket[size];
        for (int index = 0; index < size; index++) {
            buckets[index] = new TokenBucket(1_000, 9_000, 1, 0);
        }
        return buckets;
    }

    /**
     * Builds the usage state with counted requests in one window.
     */
    private static Object countedRequests(int size) {
        UsageReducer usage = new UsageReducer();
        for (int index = 0; index < size; index++) {
            RequestId request = new RequestId("01a23ee5-a5ba-7d9d-9659-" + (100_000_000L + index));
            UsageEntry entry = new UsageEntry(new AccountId("account-" + index % 5), request, "m", 60_000, 9, 3, 1);
            UsageRecorded recorded = new UsageRecorded(java.util.List.of(entry));
            usage.applyUsage(new LogRecord(index, new Incarnation("w"), index, recorded), recorded);
        }
        return usage;
    }

    /**
     * Builds the operation state with started operations.
     */
    private static Object operations(int size) {
        OperationReducer operations = new OperationReducer();
        Incarnation writer = new Incarnation("w");
        for (int index = 0; index < size; index++) {
            OperationId operation = new OperationId("01a23ee5-a5ba-7d9d-9659-" + (100_000_000L + index));
            OperationStarted start = new OperationStarted(new AccountId("account-" + index % 5), operation, index);
            operations.applyStart(new LogRecord(index, writer, index, start), start);
        }
        return operations;
    }

    /**
     * Builds an index with prefix blocks of one endpoint.
     */
    private static Object prefixBlocks(int size) {
        PrefixBlockIndex index = new PrefixBlockIndex(size);
        for (int block = 0; block < size; block++) {
            index.stored(new EndpointId("e"), block * 7_919L);
        }
        return index;
    }
}
