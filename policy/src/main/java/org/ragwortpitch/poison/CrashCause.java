package org.ragwortpitch.poison;

import java.util.Comparator;
import org.ragwortpitch.identity.PrefixBlockId;

/**
 * What may make each endpoint crash that begins to execute it: a prefix block that prompts share, or one request that
 * comes again and again.
 *
 * @param kind  what it is
 * @param value the id of the block, or the first digits of the request's fingerprint, as an unsigned number
 */
public record CrashCause(Kind kind, long value) implements Comparable<CrashCause> {

    private static final Comparator<CrashCause> ORDER =
            Comparator.comparing(CrashCause::kind).thenComparing(CrashCause::value, Long::compareUnsigned);

    private static final int HEX_DIGITS = 16;

    private static final int HEX_RADIX = 16;

    /** The kinds of causes, the least specific first. */
    public enum Kind {
        /** A prefix block of a prompt. */
        BLOCK,
        /** A request as a whole. */
        REQUEST
    }

    /**
     * Returns a prefix block as a cause.
     */
    public static CrashCause of(PrefixBlockId block) {
        return new CrashCause(Kind.BLOCK, block.value());
    }

    /**
     * Returns a request as a cause.
     */
    public static CrashCause of(Fingerprint request) {
        return new CrashCause(
                Kind.REQUEST, Long.parseUnsignedLong(request.value().substring(0, HEX_DIGITS), HEX_RADIX));
    }

    @Override
    public int compareTo(CrashCause other) {
        return ORDER.compare(this, other);
    }

    /**
     * Returns the value in hexadecimal; that of a request has a prefix.
     */
    @Override
    public String toString() {
        return (kind == Kind.REQUEST ? "request-" : "") + Long.toHexString(value);
    }
}
