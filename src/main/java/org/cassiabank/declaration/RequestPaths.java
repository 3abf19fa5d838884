package org.cassiabank.declaration;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Normalizes request paths for matching.
 *
 * <p>Without normalization a caller could write {@code /%6Frders} or {@code /x/../orders} to reach the server's
 * {@code /orders} through another selector, possibly one whose requests may be executed more than once.
 */
final class RequestPaths {
    private static final String UNRESERVED_PUNCTUATION = "-._~";

    private RequestPaths() {}

    /**
     * Removes the query and fragment, decodes percent-encoded unreserved characters, converts other percent-encodings
     * to upper case and resolves dot segments (RFC 3986, section 6.2.2).
     *
     * @param path the path of a request target
     * @return the path to match against selectors
     */
    static String normalize(String path) {
        String normalized = withoutQuery(path);
        if (normalized.indexOf('%') >= 0) {
            normalized = decodeUnreserved(normalized);
        }
        return normalized.contains("/.") ? removeDotSegments(normalized) : normalized;
    }

    private static String withoutQuery(String path) {
        for (int index = 0; index < path.length(); index++) {
            char character = path.charAt(index);
            if (character == '?' || character == '#') {
                return path.substring(0, index);
            }
        }
        return path;
    }

    private static String decodeUnreserved(String path) {
        StringBuilder decoded = new StringBuilder(path.length());
        for (int index = 0; index < path.length(); index++) {
            char character = path.charAt(index);
            int octet = character == '%' && index + 2 < path.length() ? hexValue(path, index + 1) : -1;
            if (octet < 0) {
                decoded.append(character);
            } else {
                if (isUnreserved((char) octet)) {
                    decoded.append((char) octet);
                } else {
                    decoded.append(String.format("%%%02X", octet));
                }
                index += 2;
            }
        }
        return decoded.toString();
    }

    /** Returns the value of two hexadecimal digits, or -1 if there is another character. */
    private static int hexValue(String path, int index) {
        int highDigit = Character.digit(path.charAt(index), 16);
        int lowDigit = Character.digit(path.charAt(index + 1), 16);
        return highDigit < 0 || lowDigit < 0 ? -1 : highDigit * 16 + lowDigit;
    }

    private static boolean isUnreserved(char octet) {
        return octet >= 'a' && octet <= 'z'
                || octet >= 'A' && octet <= 'Z'
                || octet >= '0' && octet <= '9'
                || UNRESERVED_PUNCTUATION.indexOf(octet) >= 0;
    }

    private static String removeDotSegments(String path) {
        Deque<String> resolvedSegments = new ArrayDeque<>();
        String[] segments = path.split("/", -1);
        for (int index = 1; index < segments.length; index++) {
            String segment = segments[index];
            boolean isLast = index == segments.length - 1;
            if (segment.equals("..")) {
                resolvedSegments.pollLast();
            } else if (!segment.equals(".")) {
                resolvedSegments.addLast(segment);
                continue;
            }
            if (isLast) {
                resolvedSegments.addLast("");
            }
        }
        return "/" + String.join("/", resolvedSegments);
    }
}
