package org.ragwortpitch.edge.standin;

import java.util.Optional;
import org.ragwortpitch.adapter.InstanceSettings;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;

/**
 * Settings of daemons in tests, which bind port 0 on loopback, that is, any free port.
 */
public final class Settings {

    private static final String ANY_PORT = "127.0.0.1:0";

    private Settings() {}

    public static InstanceSettings of(String instance, StandinStore store, long windowMillis, long lateMillis) {
        InstanceSettings.Bounds bounds = new InstanceSettings.Bounds(
                3_000, 2_000, 8_000, 0.2, 50, 10_000, true, 300, windowMillis, lateMillis, 5);
        return new InstanceSettings(
                new InstanceId(instance),
                new FailureDomain("a"),
                "127.0.0.1",
                ANY_PORT,
                ANY_PORT,
                ANY_PORT,
                0,
                true,
                1_000,
                store.address(),
                Optional.of(store.address()),
                bounds);
    }
}
