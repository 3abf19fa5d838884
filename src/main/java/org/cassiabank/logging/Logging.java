package org.cassiabank.logging;

import java.util.Objects;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/**
 * Configures the logging of a process, which writes structured lines to standard output.
 */
public final class Logging {
    /** Strong references, because a logger that is garbage collected loses the level that was set on it. */
    private static final Logger ROOT_LOGGER;

    private static final Logger JOOBY_LOGGER;
    private static final Logger NETTY_LOGGER;

    static {
        System.setProperty("java.util.logging.manager", ShutdownSafeLogManager.class.getName());
        ROOT_LOGGER = LogManager.getLogManager().getLogger("");
        JOOBY_LOGGER = Logger.getLogger("io.jooby");
        NETTY_LOGGER = Logger.getLogger("io.netty");
    }

    private Logging() {}

    /**
     * Replaces the handlers of the root logger. Must be called before any other class of the process logs.
     *
     * @param process the name of the process, which each line contains
     */
    public static void setUp(String process) {
        Objects.requireNonNull(process, "process");
        for (Handler handler : ROOT_LOGGER.getHandlers()) {
            ROOT_LOGGER.removeHandler(handler);
        }
        ROOT_LOGGER.addHandler(BoundedLogHandler.start(System.out, LogLineFormatter.of(process), process));
        JOOBY_LOGGER.setLevel(Level.WARNING);
        NETTY_LOGGER.setLevel(Level.WARNING);
    }

    /**
     * Waits until the lines logged so far are written, for half a second at most. Must be called before the process is
     * halted, because a halt does not wait for queued lines.
     */
    public static void flush() {
        for (Handler handler : ROOT_LOGGER.getHandlers()) {
            handler.flush();
        }
    }
}
