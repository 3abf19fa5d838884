package org.cassiabank.logging;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Locale;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats a log record as one line of {@code key=value} pairs, so that tools can parse it without regular expressions.
 * Line breaks in messages and stack traces are escaped.
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
    public String format(LogRecord record) {
        StringBuilder line = new StringBuilder()
                .append("time=")
                .append(record.getInstant())
                .append(" level=")
                .append(record.getLevel().getName().toLowerCase(Locale.ROOT))
                .append(" process=")
                .append(process)
                .append(" logger=")
                .append(simpleName(record.getLoggerName()))
                .append(" message=")
                .append(quote(formatMessage(record)));
        if (record.getThrown() != null) {
            StringWriter stackTrace = new StringWriter();
            record.getThrown().printStackTrace(new PrintWriter(stackTrace));
            line.append(" trace=").append(quote(stackTrace.toString()));
        }
        return line.append(System.lineSeparator()).toString();
    }

    private static String simpleName(String loggerName) {
        return loggerName == null ? "" : loggerName.substring(loggerName.lastIndexOf('.') + 1);
    }

    private static String quote(String text) {
        return '"'
                + text.replace("\\", "\\\\")
                        .replace("\"", "\\\"")
                        .replace("\r", "")
                        .replace("\n", "\\n")
                + '"';
    }
}
