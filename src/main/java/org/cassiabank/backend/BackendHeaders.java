package org.cassiabank.backend;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import okhttp3.Headers;

/**
 * The project's own header names between proxies and backend servers, and the removal of hop-by-hop headers.
 */
public final class BackendHeaders {
    /** The identifier of the request, which the server echoes. */
    public static final String REQUEST_ID = "Cassiabank-Request-Id";

    /** The time in milliseconds that the server has for the request. */
    public static final String DEADLINE_MILLIS = "Cassiabank-Deadline-Millis";

    /** With status 503 and the value {@code true}: the server did not run the request. */
    public static final String NOT_RUN = "Cassiabank-Not-Run";

    /** With the value {@code true}: the server is leaving the fleet. */
    public static final String LEAVING = "Cassiabank-Leaving";

    /** The requests a second that the server accepts from all proxies together, as a decimal number. */
    public static final String RATE_LIMIT = "Cassiabank-Rate-Limit";

    /** The key of the caller's customer, sent to proxies only. */
    public static final String CUSTOMER_KEY = "Cassiabank-Key";

    /** The name of the customer that a key identified, sent to backend servers. */
    public static final String CUSTOMER = "Cassiabank-Customer";

    private static final Set<String> HOP_BY_HOP_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private BackendHeaders() {}

    /**
     * Removes the headers that apply to one connection only and must not be forwarded.
     *
     * @param headers the headers of a message
     * @return a copy without hop-by-hop headers and without those that {@code Connection} lists
     */
    public static Map<String, List<String>> endToEnd(Map<String, List<String>> headers) {
        Set<String> removedNames = new HashSet<>(HOP_BY_HOP_HEADERS);
        headers.forEach((name, values) -> {
            if (name.equalsIgnoreCase("Connection")) {
                for (String value : values) {
                    for (String removedName : value.split(",")) {
                        removedNames.add(removedName.strip().toLowerCase(Locale.ROOT));
                    }
                }
            }
        });
        Map<String, List<String>> forwardedHeaders = new LinkedHashMap<>();
        headers.forEach((name, values) -> {
            if (!removedNames.contains(name.toLowerCase(Locale.ROOT))) {
                forwardedHeaders.put(name, List.copyOf(values));
            }
        });
        return forwardedHeaders;
    }

    /** Removes hop-by-hop headers. Names that differ only in case are merged under the first spelling. */
    static Map<String, List<String>> endToEnd(Headers headers) {
        Map<String, List<String>> valuesByName = new LinkedHashMap<>();
        Map<String, String> firstSpellings = new LinkedHashMap<>();
        for (int index = 0; index < headers.size(); index++) {
            String name = headers.name(index);
            String nameToForward = firstSpellings.computeIfAbsent(name.toLowerCase(Locale.ROOT), lowerCaseName -> name);
            valuesByName
                    .computeIfAbsent(nameToForward, key -> new ArrayList<>())
                    .add(headers.value(index));
        }
        return endToEnd(valuesByName);
    }

    /**
     * Returns the headers of an attempt. The caller's {@code Content-Length} is omitted because OkHttp derives it from
     * the body, and {@code Expect} because the body is complete and sent without waiting.
     */
    static Headers requestHeaders(BackendRequest request, HeaderConventions conventions, boolean mayReuseConnection) {
        Headers.Builder builder = new Headers.Builder();
        endToEnd(request.headers()).forEach((name, values) -> {
            if (!name.equalsIgnoreCase("Content-Length") && !name.equalsIgnoreCase("Expect")) {
                values.forEach(value -> builder.addUnsafeNonAscii(name, value));
            }
        });
        builder.set(conventions.requestIdHeader(), request.requestId());
        builder.set(conventions.deadlineHeader(), Long.toString(request.timeoutMillis()));
        conventions.expectedServerHeader().ifPresent(name -> {
            builder.removeAll(name);
            if (!request.server().isEmpty()) {
                builder.set(name, request.server());
            }
        });
        if (!mayReuseConnection) {
            builder.set("Connection", "close");
        }
        return builder.build();
    }

    /**
     * Tells whether a header is present and all its values equal the given one, ignoring case.
     *
     * @param headers the headers of a message
     * @param name the name of the header, in any spelling
     * @param expectedValue the value
     * @return false also if the header has the value beside another one
     */
    public static boolean hasOnlyValue(Map<String, List<String>> headers, String name, String expectedValue) {
        boolean found = false;
        for (Map.Entry<String, List<String>> header : headers.entrySet()) {
            if (header.getKey().equalsIgnoreCase(name)) {
                for (String value : header.getValue()) {
                    if (!expectedValue.equalsIgnoreCase(value)) {
                        return false;
                    }
                    found = true;
                }
            }
        }
        return found;
    }
}
