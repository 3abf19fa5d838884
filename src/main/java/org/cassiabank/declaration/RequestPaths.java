package org.cassiabank.declaration;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Normalizes request paths for matching.
 *
 * <p>Without normalization a caller could write {@code /%6Frders} or {@code /x/../orders} to reach the server's
 * {@code /orders} through another selector, possibly one that allows repetition.
 */
final class RequestPaths {
    private static final String UNRESERVED_PUNCTUATION = "-._~";

    private RequestPaths() {}

    /**
     * Removes the query, decodes percent-encoded unreserved characters and resolves dot segments (RFC 3986, section
     * 6.2.2).
     *
     * @param path the path of a request target
     * @return the path for matching
     */
    static String normalize(String path) {
        String plain = withoutQuery(path);
        if (plain.indexOf('%') >= 0) {
            plain = decodeUnreserved(plain);
        }
        return plain.contains("/.") ? removeDotSegments(plain) : plain;
    }

    private static String withoutQuery(String path) {
        for (int index = 0; index < path.length(); index++) {
            char next = path.charAt(index);
            if (next == '?' || next == '#') {
                return path.substring(0, index);
            }
        }
        return path;
    }

    private static String decodeUnreserved(String path) {
        StringBuilder decoded = new StringBuilder(path.length());
        for (int index = 0; index < path.length(); index++) {
            char next = path.charAt(index);
            int value = next == '%' && index + 2 < path.length() ? hexValue(path, index + 1) : -1;
            if (value < 0) {
                decoded.append(next);
            } else {
                if (isUnreserved((char) value)) {
                    decoded.append((char) value);
                } else {
                    decoded.append(String.format("%%%02X", value));
                }
                index += 2;
            }
        }
        return decoded.toString();
    }

    private static int hexValue(String path, int index) {
        int high = Character.digit(path.charAt(index), 16);
        int low = Character.digit(path.charAt(index + 1), 16);
        return high < 0 || low < 0 ? -1 : high * 16 + low;
    }

    private static boolean isUnreserved(char value) {
        return value >= 'a' && value <= 'z'
                || value >= 'A' && value <= 'Z'
                || value >= '0' && value <= '9'
                || UNRESERVED_PUNCTUATION.indexOf(value) >= 0;
    }

    private static String removeDotSegments(String path) {
        Deque<String> kept = new ArrayDeque<>();
        String[] segments = path.split("/", -1);
        for (int index = 1; index < segments.length; index++) {
            String segment = segments[index];
            boolean last = index == segments.length - 1;
            if (segment.equals("..")) {
                kept.pollLast();
            } else if (!segment.equals(".")) {
                kept.addLast(segment);
                continue;
            }
            if (last) {
                kept.addLast("");
            }
        }
        return "/" + String.join("/", kept);
    }
}
