package org.cassiabank.logging;

import java.util.Objects;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/**
 * Sets up logging of a process: structured lines on standard output.
 */
public final class Logging {
    /** Kept so that the levels that are set on the loggers are not lost to garbage collection. */
    private static final Logger ROOT;

    private static final Logger JOOBY;
    private static final Logger NETTY;

    static {
        System.setProperty("java.util.logging.manager", ShutdownSafeLogManager.class.getName());
        ROOT = LogManager.getLogManager().getLogger("");
        JOOBY = Logger.getLogger("io.jooby");
        NETTY = Logger.getLogger("io.netty");
    }

    private Logging() {}

    /**
     * Sets up logging. Must be called before any other class of the process logs.
     *
     * @param process the name of the process, shown in each line
     */
    public static void setUp(String process) {
        Objects.requireNonNull(process, "process");
        for (Handler handler : ROOT.getHandlers()) {
            ROOT.removeHandler(handler);
        }
        ROOT.addHandler(BoundedLogHandler.start(System.out, LogLineFormatter.of(process), process));
        JOOBY.setLevel(Level.WARNING);
        NETTY.setLevel(Level.WARNING);
    }

    /**
     * Waits shortly until the lines logged so far are written. To be called before the process is halted.
     */
    public static void flush() {
        for (Handler handler : ROOT.getHandlers()) {
            handler.flush();
        }
    }
}
