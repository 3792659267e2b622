package org.ragwortpitch.resumption;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.identity.SoftwareVersion;

class ListedVersionsTest {

    private static final int READ_MILLIS = 1_000;

    private final ListedVersions versions = new ListedVersions(true);

    private static List<SoftwareVersion> versions(String names) {
        return Arrays.stream(names.split(" ")).map(SoftwareVersion::new).toList();
    }

    private static void read(ListedVersions target, String names, long fromMillis, long untilMillis) {
        for (long atMillis = fromMillis; atMillis <= untilMillis; atMillis += READ_MILLIS) {
            target.read(versions(names), atMillis);
        }
    }

    private static Optional<SoftwareVersion> only(ListedVersions target, long nowMillis) {
        return target.only(nowMillis);
    }

    /** Guards against a version that is taken for the only one while, or shortly after, another one served. */
    @ParameterizedTest
    @CsvSource({"v1, v1, 3000, v1", "v1, v1 v2, 3000, ", "v1 v2, v2, 3000, ", "v1 v2, v2, 40000, v2"})
    void testOnlyVersionIsKnownOnceNoOtherCanHaveBegunAStream(
            String first, String then, long thenMillis, String expected) {
        read(versions, first, 0, 5_000);
        read(versions, then, 6_000, 6_000 + thenMillis);
        assertEquals(Optional.ofNullable(expected).map(SoftwareVersion::new), only(versions, 6_000 + thenMillis));
    }

    /** Guards against a daemon that takes an old list for the present one while it is cut off from the store. */
    @Test
    void testVersionIsNotKnownFromAnOldReading() {
        read(versions, "v1", 0, 5_000);
        assertEquals(Optional.empty(), only(versions, 5_001 + ListedVersions.MAX_AGE_MILLIS));
    }

    /** Guards against a version that came and went while a daemon was cut off. */
    @Test
    void testVersionIsNotKnownSoonAfterAGapBetweenReadings() {
        read(versions, "v1", 0, 5_000);
        read(versions, "v1", 12_000, 20_000);
        assertEquals(Optional.empty(), only(versions, 20_000));
        read(versions, "v1", 21_000, 43_000);
        assertEquals(versions("v1"), only(versions, 43_000).stream().toList());
    }

    /** Guards against a daemon that has started after a version went and can't know of it. */
    @Test
    void testVersionIsNotKnownSoonAfterARestart() {
        ListedVersions restarted = new ListedVersions(false);
        read(restarted, "v2", 0, 5_000);
        assertEquals(Optional.empty(), only(restarted, 5_000));
    }
}
