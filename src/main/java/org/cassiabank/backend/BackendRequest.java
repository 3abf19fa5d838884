package org.cassiabank.backend;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;

/**
 * A request to a backend server, as one attempt sends it.
 *
 * @param service the name of the service, empty if it is unknown
 * @param server the name of the server, empty if it is unknown
 * @param address the host and port of the server
 * @param method the HTTP method
 * @param target the path with the query, starting with a slash and without dot segments
 * @param headers the caller's headers; hop-by-hop headers are not sent
 * @param body the complete body, empty if there is none; not copied
 * @param requestId the identifier that the server has to echo
 * @param repeatable whether the request may run more than once; others use a new connection unless the server responded
 *     within {@link BackendClientSettings#unrepeatableIdleMillis()}
 * @param timeoutMillis the maximum time for the whole attempt in milliseconds, at least 1; also sent to the server as
 *     its deadline
 */
public record BackendRequest(
        String service,
        String server,
        String address,
        String method,
        String target,
        Map<String, List<String>> headers,
        byte[] body,
        String requestId,
        boolean repeatable,
        long timeoutMillis) {

    /**
     * Copies the headers and rejects requests that cannot be forwarded unchanged.
     *
     * @throws IllegalArgumentException if the path does not start with a slash or has a fragment, a backslash or a dot
     *     segment (a server resolves dot segments, so it would run another path than the one that was routed), if a GET
     *     or HEAD request has a body, or if the identifier is blank or the timeout is not positive
     */
    public BackendRequest {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(server, "server");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(body, "body");
        headers = Map.copyOf(headers);
        if (!target.startsWith("/") || target.contains("#") || target.contains("\\") || hasDotSegment(target)) {
            throw new IllegalArgumentException("path cannot be forwarded unchanged: " + target);
        }
        if (body.length > 0 && (method.equals("GET") || method.equals("HEAD"))) {
            throw new IllegalArgumentException(method + " request with a body");
        }
        if (requestId.isBlank()) {
            throw new IllegalArgumentException("request identifier is blank");
        }
        if (timeoutMillis < 1) {
            throw new IllegalArgumentException("timeout must be positive: " + timeoutMillis);
        }
    }

    /**
     * Creates a request to a server whose name and service are unknown.
     *
     * @param address the host and port of the server
     * @param method the HTTP method
     * @param target the path with the query, starting with a slash and without dot segments
     * @param headers the caller's headers; hop-by-hop headers are not sent
     * @param body the complete body, empty if there is none; not copied
     * @param requestId the identifier that the server has to echo
     * @param repeatable whether the request may run more than once; others use a new connection unless the server
     *     responded within {@link BackendClientSettings#unrepeatableIdleMillis()}
     * @param timeoutMillis the maximum time for the whole attempt in milliseconds, at least 1; also sent to the server
     *     as its deadline
     * @return the request
     * @throws IllegalArgumentException if the request cannot be forwarded unchanged, the identifier is blank or the
     *     timeout is not positive
     */
    public static BackendRequest forAddress(
            String address,
            String method,
            String target,
            Map<String, List<String>> headers,
            byte[] body,
            String requestId,
            boolean repeatable,
            long timeoutMillis) {
        return new BackendRequest("", "", address, method, target, headers, body, requestId, repeatable, timeoutMillis);
    }

    private static boolean hasDotSegment(String target) {
        int queryStart = target.indexOf('?');
        String path = queryStart < 0 ? target : target.substring(0, queryStart);
        for (String segment : path.split("/")) {
            String decodedSegment = segment.toLowerCase(Locale.ROOT).replace("%2e", ".");
            if (decodedSegment.equals(".") || decodedSegment.equals("..")) {
                return true;
            }
        }
        return false;
    }
}
