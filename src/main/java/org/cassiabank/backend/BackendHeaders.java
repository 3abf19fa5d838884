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
 * Header names of the protocol with backend servers, and the removal of hop-by-hop headers.
 */
public final class BackendHeaders {
    /** The identifier of the request, echoed by the server. */
    public static final String REQUEST_ID = "Cassiabank-Request-Id";

    /** The time the server has for the request in milliseconds. */
    public static final String DEADLINE_MILLIS = "Cassiabank-Deadline-Millis";

    /** States with status 503 and value {@code true} that the server did not run the request. */
    public static final String NOT_RUN = "Cassiabank-Not-Run";

    /** States with value {@code true} that the server is leaving. */
    public static final String LEAVING = "Cassiabank-Leaving";

    private static final Set<String> HOP_BY_HOP = Set.of(
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
     * Returns the headers that may be forwarded.
     *
     * @param headers the headers of a message
     * @return the headers without hop-by-hop ones and without those that {@code Connection} names
     */
    public static Map<String, List<String>> endToEnd(Map<String, List<String>> headers) {
        Set<String> removed = new HashSet<>(HOP_BY_HOP);
        headers.forEach((name, values) -> {
            if (name.equalsIgnoreCase("Connection")) {
                for (String value : values) {
                    for (String named : value.split(",")) {
                        removed.add(named.strip().toLowerCase(Locale.ROOT));
                    }
                }
            }
        });
        Map<String, List<String>> result = new LinkedHashMap<>();
        headers.forEach((name, values) -> {
            if (!removed.contains(name.toLowerCase(Locale.ROOT))) {
                result.put(name, List.copyOf(values));
            }
        });
        return result;
    }

    static Map<String, List<String>> endToEnd(Headers headers) {
        Map<String, List<String>> all = new LinkedHashMap<>();
        Map<String, String> firstSpelling = new LinkedHashMap<>();
        for (int index = 0; index < headers.size(); index++) {
            String name = headers.name(index);
            String spelling = firstSpelling.computeIfAbsent(name.toLowerCase(Locale.ROOT), lower -> name);
            all.computeIfAbsent(spelling, key -> new ArrayList<>()).add(headers.value(index));
        }
        return endToEnd(all);
    }

    /**
     * Returns the headers to send for a request. {@code Content-Length} is set from the body. {@code Expect} is left
     * out because the body is complete and sent at once.
     */
    static Headers toSend(BackendRequest request, HeaderConventions conventions, boolean mayUseIdle) {
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
        if (!mayUseIdle) {
            builder.set("Connection", "close");
        }
        return builder.build();
    }

    /** Tells whether a header is there and has the given value each time. */
    static boolean isAlways(Map<String, List<String>> headers, String name, String value) {
        List<String> values = headers.entrySet().stream()
                .filter(header -> header.getKey().equalsIgnoreCase(name))
                .flatMap(header -> header.getValue().stream())
                .toList();
        return !values.isEmpty() && values.stream().allMatch(value::equalsIgnoreCase);
    }
}
