package org.cassiabank.http;

import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Decides whether a head that declares neither a length nor chunks permits a body that ends with its connection.
 *
 * <p>A response whose framing was lost by a fault looks the same once its server closes the connection in order. So the
 * head has to announce the end of the connection (RFC 9112, sections 9.3 and 9.6), and must not name a framing field
 * inside another line, as after a spoiled line end.
 */
final class EndOfConnectionAnnouncement {
    private static final Pattern FRAMING_FIELD = Pattern.compile(
            "(?:" + BodyEnd.CONTENT_LENGTH + "|" + BodyEnd.TRANSFER_ENCODING + "):", Pattern.CASE_INSENSITIVE);

    private final boolean persistentByDefault;
    /** The options of the connection, in lower case. */
    private final Set<String> connectionOptions = new HashSet<>();

    private boolean hasKeepAliveField;
    /** The line that names a framing field behind its beginning, if there is one. */
    private Optional<String> joinedLine = Optional.empty();

    private EndOfConnectionAnnouncement(boolean persistentByDefault) {
        this.persistentByDefault = persistentByDefault;
    }

    /** Creates the announcement of a head that has no lines. */
    static EndOfConnectionAnnouncement none() {
        return new EndOfConnectionAnnouncement(true);
    }

    /**
     * Creates the announcement of a head without fields.
     *
     * @param statusLine the status line without its end
     * @param version10 whether the response is one of HTTP/1.0, whose connections end unless the head says otherwise
     */
    static EndOfConnectionAnnouncement ofHead(String statusLine, boolean version10) {
        EndOfConnectionAnnouncement announcement = new EndOfConnectionAnnouncement(!version10);
        announcement.recordLine(statusLine, statusLine);
        return announcement;
    }

    /**
     * Records a field that is no framing field.
     *
     * @param field the field
     */
    void recordField(FieldLine field) {
        recordLine(field.value(), field.name() + ": " + field.value());
        hasKeepAliveField |= field.name().equalsIgnoreCase("Keep-Alive");
        if (field.name().equalsIgnoreCase("Connection")) {
            for (String option : field.value().split(",", -1)) {
                connectionOptions.add(option.strip().toLowerCase(Locale.ROOT));
            }
        }
    }

    /**
     * Returns why the body may end elsewhere than with the connection.
     *
     * @return the reason, or empty if the end of the connection is announced
     */
    Optional<String> findDoubt() {
        boolean announced = (!persistentByDefault || connectionOptions.contains("close"))
                && !connectionOptions.contains("keep-alive")
                && !hasKeepAliveField;
        return announced
                ? joinedLine.map(line -> "the head declares no framing, but names it inside the line [" + line + "]")
                : Optional.of("the head declares neither a length nor chunks nor the end of the connection");
    }

    private void recordLine(String textBehindName, String line) {
        if (FRAMING_FIELD.matcher(textBehindName).find()) {
            joinedLine = Optional.of(PrintableText.abbreviate(line));
        }
    }
}
