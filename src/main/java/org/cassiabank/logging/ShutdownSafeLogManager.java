package org.cassiabank.logging;

import java.util.logging.LogManager;

/**
 * A log manager whose handlers stay open while the process shuts down. The standard log manager closes its handlers in
 * a shutdown hook, which would lose the lines about a graceful stop.
 */
public final class ShutdownSafeLogManager extends LogManager {

    /**
     * Creates the manager. Called by {@link LogManager}, which loads the class named by the system property
     * {@code java.util.logging.manager}.
     */
    public ShutdownSafeLogManager() {
        super();
    }

    @Override
    public void reset() {
        // Leaves the handlers open; Logging.flush() waits for their queued lines before the process is halted.
    }
}
