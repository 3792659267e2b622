package org.ragwortpitch.duty;

/**
 * A member that held the duties, as it recorded in the store before its first action under a fencing token.
 *
 * @param token  the fencing token, which no other member holds
 * @param member the member's name
 */
public record DutyHolder(long token, String member) {

    /**
     * Returns whether no other member can have held the duties between this one and the holder of a later token. Tokens
     * rise with each change of the group's members; a gap may be a holder whose record is lost or not executed yet.
     */
    public boolean isJustBefore(long laterToken) {
        return token == laterToken - 1;
    }
}
