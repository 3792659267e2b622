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
 * Assigns homes to client accounts by rendezvous hashing (Thaler and Ravishankar, 1998): a member that comes or goes
 * moves no more accounts than it must.
 */
public final class HomeAssignment {

    /**
     * Not to be made.
     */
    private HomeAssignment() {}

    /**
     * Tells the homes of an account.
     *
     * @param account the account
     * @param members the members
     * @param count   how many homes it has
     * @return the homes, the first being the one to prefer
     */
    public static List<Incarnation> homes(AccountId account, Collection<Incarnation> members, int count) {
        return members.stream()
                .map(member -> new Candidate(member, weight(account, member)))
                .sorted(Comparator.comparingLong(Candidate::weight).reversed().thenComparing(Candidate::member))
                .limit(count)
                .map(Candidate::member)
                .toList();
    }

    /**
     * Hashes an account with a member.
     *
     * @param account the account
     * @param member  the member
     * @return the weight
     */
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

    /**
     * A member with its weight for an account.
     *
     * @param member the member
     * @param weight the weight
     */
    private record Candidate(Incarnation member, long weight) {}
}
