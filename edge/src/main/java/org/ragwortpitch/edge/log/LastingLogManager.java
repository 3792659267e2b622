package org.ragwortpitch.edge.log;

import java.util.logging.LogManager;

/**
 * Log manager that keeps all handlers until the process has ended. The JDK's own one closes them in a shutdown hook,
 * which runs beside the hook that drains the daemon, so that a stop of several seconds would leave no log.
 */
public final class LastingLogManager extends LogManager {

    /** The system property that names the log manager; read when the first logger is created. */
    static final String PROPERTY = "java.util.logging.manager";

    /**
     * Does nothing: the handlers are set once, at the start.
     */
    @Override
    public void reset() {}
}
