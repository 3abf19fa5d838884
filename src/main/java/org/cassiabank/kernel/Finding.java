package org.cassiabank.kernel;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * One problem in the input, with its location.
 *
 * @param source the name of the file, document or operation that was checked
 * @param line the line, counted from 1, or empty if it is not known
 * @param key the dotted key of the invalid value, for example {@code service.menu.slots}; may be empty
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
     * @param source the name of the file, document or operation that was checked
     * @param key the dotted key of the invalid value; may be empty
     * @param message what is wrong and what is expected
     * @return the finding
     */
    public static Finding of(String source, String key, String message) {
        return new Finding(source, OptionalInt.empty(), key, message);
    }

    /**
     * Creates a finding with a line.
     *
     * @param source the name of the file or document that was checked
     * @param line the line, counted from 1
     * @param key the dotted key of the invalid value; may be empty
     * @param message what is wrong and what is expected
     * @return the finding
     */
    public static Finding at(String source, int line, String key, String message) {
        return new Finding(source, OptionalInt.of(line), key, message);
    }

    /**
     * Returns the finding as one line for operators.
     *
     * @return the source, the line and the key as far as they are given, and the message, separated by colons
     */
    @Override
    public String toString() {
        String place = line.isPresent() ? source + ":" + line.getAsInt() : source;
        return key.isEmpty() ? place + ": " + message : place + ": " + key + ": " + message;
    }
}
