package org.ragwortpitch.closing;

import java.lang.System.Logger;
import java.util.ArrayDeque;
import java.util.Deque;
import org.ragwortpitch.logging.Event;

/**
 * Closes resources in the reverse order of their registration. A failure is logged and does not prevent the others from
 * being closed. Thread-safe.
 */
public final class Closer implements AutoCloseable {

    private static final Logger LOGGER = System.getLogger(Closer.class.getName());

    /** The resources, most recently added first. */
    private final Deque<AutoCloseable> resources = new ArrayDeque<>();

    /**
     * Registers a resource to be closed.
     *
     * @param <T> the resource's type
     * @return the resource
     */
    public synchronized <T extends AutoCloseable> T add(T resource) {
        resources.push(resource);
        return resource;
    }

    @Override
    public synchronized void close() {
        while (!resources.isEmpty()) {
            try {
                resources.pop().close();
            } catch (Exception exception) {
                Event.of("close-failed").with("reason", exception).warn(LOGGER);
            }
        }
    }
}
