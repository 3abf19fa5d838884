package org.cassiabank.kernel;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * One problem in the input, with the place where it stands.
 *
 * @param source the file or document that was read
 * @param line the line, counted from 1, or empty if it is not known
 * @param key the key of the offending value, for example {@code service.menu.slots}; may be empty
 * @param message what is wrong and what is expected
 */
public record Finding(String source, OptionalInt line, String key, String message) {

    /**
     * Checks that no component is null.
     */
    public Finding {
        Objects.requireNonNull(source, "source");
        Objects.requireNonNull(line, "line");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(message, "message");
    }

    /**
     * Creates a finding whose line is not known.
     *
     * @param source the file or document
     * @param key the key of the offending value
     * @param message what is wrong
     * @return the finding
     */
    public static Finding of(String source, String key, String message) {
        return new Finding(source, OptionalInt.empty(), key, message);
    }

    /**
     * Creates a finding with a line.
     *
     * @param source the file or document
     * @param line the line, counted from 1
     * @param key the key of the offending value
     * @param message what is wrong
     * @return the finding
     */
    public static Finding at(String source, int line, String key, String message) {
        return new Finding(source, OptionalInt.of(line), key, message);
    }

    @Override
    public String toString() {
        String place = line.isPresent() ? source + ":" + line.getAsInt() : source;
        return key.isEmpty() ? place + ": " + message : place + ": " + key + ": " + message;
    }
}
