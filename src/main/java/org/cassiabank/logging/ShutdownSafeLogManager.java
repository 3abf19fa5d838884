package org.cassiabank.logging;

import java.util.logging.LogManager;

/**
 * A log manager that still writes while the process shuts down. The standard one closes its handlers in a shutdown hook
 * of its own, so the lines about a graceful stop would be lost.
 */
public final class ShutdownSafeLogManager extends LogManager {

    /**
     * Creates the manager. Called by {@link LogManager}, which finds the class by its name.
     */
    public ShutdownSafeLogManager() {
        super();
    }

    @Override
    public void reset() {
        // Handlers write to standard error without a buffer, so nothing is lost when they are not closed.
    }
}
