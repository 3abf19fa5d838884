package org.cassiabank.declaration;

import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The rules for single values of declarations, shared by the records and by the reader of files and documents. The
 * methods whose names end in {@code Problem} return a message about an invalid value, or empty for a valid one.
 */
final class DeclarationRules {
    static final Range SLOTS = new Range("slots", 1, 10_000);
    static final Range FLOOR = new Range("floor", 0, 1_000_000);
    static final Range DEADLINE_MILLIS = new Range("deadline-millis", 1, 3_600_000);
    static final Range WEIGHT = new Range("weight", 1, 1_000_000);
    static final Range PRIORITY = new Range("priority", -1_000_000, 1_000_000);

    static final Range TIMEOUT_MILLIS = new Range("timeout-millis", 0, 3_600_000);
    static final Range TARGET_MILLIS = new Range("target-millis", 0, 3_600_000);
    static final Range MAXIMUM_ATTEMPTS = new Range("maximum-attempts", 1, 100);
    static final Range URGENCY = new Range("urgency", 0, 1_000);
    static final Range HEADER_BYTES = new Range("header-bytes", 0, 1 << 24);
    static final Range BODY_BYTES = new Range("body-bytes", 0, 1L << 40);
    static final Range HEADER_MILLIS = new Range("header-millis", 0, 3_600_000);
    static final Range IDLE_MILLIS = new Range("idle-millis", 0, 86_400_000);

    static final Range BURST = new Range("burst", 0, 1_000_000_000);

    private static final double MAXIMUM_REQUESTS_PER_SECOND = 1e9;
    private static final int MAXIMUM_TEXT_CHARACTERS = 512;
    // Names become parts of metric labels and of rendezvous keys "service/shard", so they contain no slash.
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");
    private static final Pattern HOST_PATTERN = Pattern.compile("[a-z0-9][a-z0-9.-]{0,252}(:[0-9]{1,5})?");
    private static final Pattern KEY_DIGEST_PATTERN = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern METHOD_PATTERN = Pattern.compile("[A-Z][A-Z0-9-]{0,31}");

    private DeclarationRules() {}

    /** The allowed values of a number, both ends included; the key is the one in files and documents. */
    record Range(String key, long minimum, long maximum) {
        /** Returns a message if the value is out of range. */
        Optional<String> problem(long value) {
            return value >= minimum && value <= maximum
                    ? Optional.empty()
                    : Optional.of(key + " must be from " + minimum + " to " + maximum + ", but is " + value);
        }
    }

    /** Throws an {@link IllegalArgumentException} with the message if there is a problem. */
    static void throwIfPresent(Optional<String> problem) {
        if (problem.isPresent()) {
            throw new IllegalArgumentException(problem.get());
        }
    }

    static Optional<String> nameProblem(String name) {
        return NAME_PATTERN.matcher(name).matches()
                ? Optional.empty()
                : Optional.of("name \"" + name + "\" must have 1 to 128 letters, digits, dots, hyphens or underscores"
                        + " and start with a letter or digit");
    }

    static Optional<String> keyDigestProblem(String digest) {
        return KEY_DIGEST_PATTERN.matcher(digest).matches()
                ? Optional.empty()
                : Optional.of("a key digest must have 64 hexadecimal digits in lower case");
    }

    /** Does not repeat the key, which must not appear in messages. */
    static Optional<String> keyProblem(String key) {
        boolean printable = key.chars().allMatch(character -> character > ' ' && character < 0x7f);
        return !key.isEmpty() && key.length() <= MAXIMUM_TEXT_CHARACTERS && printable
                ? Optional.empty()
                : Optional.of("a key must have 1 to " + MAXIMUM_TEXT_CHARACTERS + " printable ASCII characters");
    }

    static Optional<String> requestsPerSecondProblem(double requestsPerSecond) {
        return requestsPerSecond >= 0 && requestsPerSecond <= MAXIMUM_REQUESTS_PER_SECOND
                ? Optional.empty()
                : Optional.of("requests-per-second must be from 0 to " + (long) MAXIMUM_REQUESTS_PER_SECOND
                        + ", but is " + requestsPerSecond);
    }

    static Optional<String> methodProblem(String method) {
        return METHOD_PATTERN.matcher(method).matches()
                ? Optional.empty()
                : Optional.of("\"" + method + "\" is not an HTTP method in capitals");
    }

    static Optional<String> pathProblem(String path) {
        if (!path.startsWith("/")) {
            return Optional.of("path \"" + path + "\" must start with /");
        }
        if (path.length() > MAXIMUM_TEXT_CHARACTERS) {
            return Optional.of("path is longer than " + MAXIMUM_TEXT_CHARACTERS + " characters");
        }
        if (path.chars()
                .anyMatch(character -> character <= ' ' || character >= 0x7f || character == '?' || character == '#')) {
            return Optional.of("path \"" + path + "\" must not contain spaces, ?, # or characters outside ASCII");
        }
        String normalized = RequestPaths.normalize(path);
        return normalized.equals(path)
                ? Optional.empty()
                : Optional.of("path \"" + path + "\" never matches; its normalized form is \"" + normalized + "\"");
    }

    static Optional<String> hostProblem(String host) {
        return host.isEmpty() || HOST_PATTERN.matcher(host).matches()
                ? Optional.empty()
                : Optional.of("host \"" + host + "\" must be a host name in lower case, with a port where one is used");
    }

    static Optional<String> globProblem(String pattern) {
        if (pattern.isEmpty() || pattern.length() > MAXIMUM_TEXT_CHARACTERS) {
            return Optional.of("glob pattern must have 1 to " + MAXIMUM_TEXT_CHARACTERS + " characters");
        }
        for (int index = 0; index < pattern.length(); index++) {
            char character = pattern.charAt(index);
            if ("[]{}\\!".indexOf(character) >= 0) {
                return Optional.of("glob pattern \"" + pattern + "\" contains '" + character
                        + "', which is not supported; only * and ? are special");
            }
            if (character <= ' ' || character == 0x7f) {
                return Optional.of("glob pattern \"" + pattern + "\" contains a space or control character");
            }
        }
        return Optional.empty();
    }

    static Optional<String> labelsProblem(Map<String, String> labels) {
        for (Map.Entry<String, String> label : labels.entrySet()) {
            if (nameProblem(label.getKey()).isPresent()) {
                return nameProblem(label.getKey()).map(problem -> "label " + problem);
            }
            String value = label.getValue();
            if (value.isEmpty()
                    || value.length() > MAXIMUM_TEXT_CHARACTERS
                    || value.chars().anyMatch(Character::isISOControl)) {
                return Optional.of("label " + label.getKey() + " must have a value of 1 to " + MAXIMUM_TEXT_CHARACTERS
                        + " characters without control characters");
            }
        }
        return Optional.empty();
    }

    static Optional<String> labelRuleProblem(Map<String, String> labels) {
        if (labels.isEmpty()) {
            return Optional.of("at least one label must be set");
        }
        String leaving = labels.getOrDefault(LabelRule.LEAVING_LABEL, "true");
        if (!leaving.equals("true") && !leaving.equals("false")) {
            return Optional.of("label leaving must be \"true\" or \"false\", but is \"" + leaving + "\"");
        }
        return labelsProblem(labels);
    }
}
