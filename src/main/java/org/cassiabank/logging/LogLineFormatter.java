package org.cassiabank.logging;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Locale;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats a log record as one line of {@code key=value} pairs, so that tools can read it without a pattern.
 */
final class LogLineFormatter extends Formatter {
    private final String process;

    private LogLineFormatter(String process) {
        this.process = process;
    }

    static LogLineFormatter of(String process) {
        return new LogLineFormatter(process);
    }

    @Override
    public String format(LogRecord entry) {
        StringBuilder line = new StringBuilder()
                .append("time=")
                .append(entry.getInstant())
                .append(" level=")
                .append(entry.getLevel().getName().toLowerCase(Locale.ROOT))
                .append(" process=")
                .append(process)
                .append(" logger=")
                .append(simpleName(entry.getLoggerName()))
                .append(" message=")
                .append(quoted(formatMessage(entry)));
        if (entry.getThrown() != null) {
            StringWriter trace = new StringWriter();
            entry.getThrown().printStackTrace(new PrintWriter(trace));
            line.append(" trace=").append(quoted(trace.toString()));
        }
        return line.append(System.lineSeparator()).toString();
    }

    private static String simpleName(String loggerName) {
        return loggerName == null ? "" : loggerName.substring(loggerName.lastIndexOf('.') + 1);
    }

    private static String quoted(String text) {
        return '"'
                + text.replace("\\", "\\\\")
                        .replace("\"", "\\\"")
                        .replace("\r", "")
                        .replace("\n", "\\n")
                + '"';
    }
}
