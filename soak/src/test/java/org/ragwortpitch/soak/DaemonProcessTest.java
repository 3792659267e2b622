package org.ragwortpitch.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.StandinStore;
import org.ragwortpitch.edge.standin.TestDaemons;
import org.ragwortpitch.standin.FaultProxy;

/**
 * Tests what only a daemon in a process of its own shows.
 */
class DaemonProcessTest {

    private static final int NETWORKS = 250;

    private final Closer closer = new Closer();
    private final StandinStore store = closer.add(new StandinStore());
    private DaemonUnderTest daemon;

    @BeforeEach
    void start(@TempDir Path directory) throws Exception {
        int storePort = Integer.parseInt(store.address().replaceAll(".*:", ""));
        String ip = "127.251." + ProcessHandle.current().pid() % NETWORKS + ".1";
        daemon = new DaemonUnderTest(
                Files.createDirectories(directory),
                "front-1",
                ip,
                "zone-1",
                new FaultProxy(() -> storePort),
                "org.ragwortpitch.edge.Main");
        daemon.start();
        TestDaemons.await(() -> daemon.logged().contains("event=topic-loaded topic=keyed.servers"));
    }

    @AfterEach
    void close() throws Exception {
        daemon.close();
        closer.close();
    }

    /** Guards against a stop that can't be explained afterwards, as the log ends with its first line. */
    @Test
    void testPlannedStopIsLoggedToItsEnd() throws Exception {
        assertTrue(daemon.stop(), "the daemon exits within its time");
        assertTrue(daemon.logged().contains("event=stopping"), daemon.logged());
        assertTrue(daemon.logged().contains("event=stopped"), daemon.logged());
    }
}
