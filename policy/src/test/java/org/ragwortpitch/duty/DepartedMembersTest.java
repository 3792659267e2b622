package org.ragwortpitch.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against departed members that are forgotten before they have left the group, or that gossip keeps for ever.
 */
class DepartedMembersTest {

    private static final String MEMBER = "front-1-17";

    private final DepartedMembers members = new DepartedMembers();

    @Test
    void testMemberIsToldUntilTheStoreHasAnsweredForLong() {
        assertTrue(members.learn(MEMBER, 1_000));
        members.expire(0, 100_000);
        assertEquals(List.of(MEMBER), members.toLeave());
        members.recordLeft(MEMBER);
        assertEquals(List.of(), members.toLeave());
        members.expire(8_999, 100_000);
        assertEquals(List.of(MEMBER), members.told());
        members.expire(9_000, 9_999);
        assertEquals(List.of(MEMBER), members.told(), "it was learned less than 9 s ago");
        members.expire(9_000, 10_000);
        assertEquals(List.of(), members.told());
        assertFalse(members.learn(MEMBER, 11_000), "late gossip");
        assertEquals(List.of(), members.told());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "front", "front-", "front 1-17", "front-1-x", "front-1-12345678901234567890"})
    void testTextThatIsNoMembersNameIsIgnored(String text) {
        assertFalse(members.learn(text, 0));
        assertEquals(List.of(), members.told());
    }

    @Test
    void testNewestOfManyMembersAreTold() {
        for (int number = 0; number < 1_000; number++) {
            members.learn("front-" + number, 0);
        }
        assertEquals(32, members.told().size());
        assertEquals("front-999", members.told().get(31));
        assertEquals(256, members.toLeave().size());
    }
}
