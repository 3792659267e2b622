package org.ragwortpitch.limit;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.Incarnation;

/**
 * Assigns owners to client accounts by rendezvous hashing (Thaler and Ravishankar, 1998), which moves as few accounts
 * as possible when a member joins or leaves.
 */
public final class OwnerAssignment {

    private OwnerAssignment() {}

    /**
     * Returns the owners of an account.
     *
     * @param members the candidates
     * @param count   the number of owners
     * @return the owners, most preferred first; fewer than {@code count} if there are fewer candidates
     */
    public static List<Incarnation> owners(AccountId account, Collection<Incarnation> members, int count) {
        return members.stream()
                .map(member -> new Candidate(member, weight(account, member)))
                .sorted(Comparator.comparingLong(Candidate::weight).reversed().thenComparing(Candidate::member))
                .limit(count)
                .map(Candidate::member)
                .toList();
    }

    private static long weight(AccountId account, Incarnation member) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(account.value().getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            digest.update(member.value().getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(digest.digest()).getLong();
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("SHA-256 is part of every Java platform", exception);
        }
    }

    /** A candidate with its rendezvous weight for an account. */
    private record Candidate(Incarnation member, long weight) {}
}
