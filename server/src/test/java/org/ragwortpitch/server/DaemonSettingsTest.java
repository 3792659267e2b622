package org.ragwortpitch.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.settings.InvalidSettingException;

/**
 * Tests the precedence of flags, environment variables and defaults, and the validation of settings.
 */
class DaemonSettingsTest {

    private static final List<String> REQUIRED = List.of(
            "--instance",
            "i",
            "--failure-domain",
            "f",
            "--platform-uri",
            "http://h:1",
            "--operator-token",
            "0123456789abcdef",
            "--peer-secret",
            "0123456789abcdef");

    private static DaemonSettings read(Map<String, String> variables, String... more) throws InvalidSettingException {
        List<String> flags = new ArrayList<>(REQUIRED);
        flags.addAll(List.of(more));
        return DaemonSettings.read(flags.toArray(new String[0]), variables);
    }

    @Test
    void testFlagOverridesVariableAndVariableOverridesDefault() throws InvalidSettingException {
        Map<String, String> variables = new HashMap<>();
        variables.put("RAGWORTPITCH_CALLER_PORT", "1234");
        variables.put("RAGWORTPITCH_PEER_PORT", "1235");
        DaemonSettings settings = read(variables, "--caller-port", "4321");
        assertEquals(4321, settings.network().callerPort());
        assertEquals(1235, settings.network().peerPort());
        assertEquals(8082, settings.network().operatorPort());
    }

    @ParameterizedTest
    @CsvSource({
        "--caller-port, 70000",
        "--caller-port, many",
        "--instance, two words",
        "--platform-uri, ftp://h:1",
        "--lease-ttl-millis, 1000",
        "--fresh-millis, 1",
        "--default-output-tokens, 99999999",
        "--no-such-flag, 1"
    })
    void testUnusableSettingIsNamedInMessage(String flag, String value) {
        InvalidSettingException failure =
                assertThrows(InvalidSettingException.class, () -> read(Map.of(), flag, value));
        assertTrue(failure.getMessage().startsWith(flag), failure.getMessage());
    }

    @Test
    void testShortSecretIsRejectedWithoutBeingDisclosed() {
        InvalidSettingException failure =
                assertThrows(InvalidSettingException.class, () -> read(Map.of(), "--peer-secret", "tooshort"));
        assertTrue(!failure.getMessage().contains("tooshort"));
    }

    @Test
    void testMissingRequiredSettingIsRejected() {
        assertThrows(InvalidSettingException.class, () -> DaemonSettings.read(new String[0], Map.of()));
    }
}
