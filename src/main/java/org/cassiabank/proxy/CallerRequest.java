package org.cassiabank.proxy;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.cassiabank.health.RequestDigest;

/**
 * A request of a caller, read in full.
 *
 * @param method the HTTP method
 * @param target the path with the query
 * @param headers the values of each header by its name in lower case
 * @param body the body, empty if there is none; not copied
 * @param remoteAddress the IP address of the caller's end of the connection, without the port
 */
record CallerRequest(
        String method, String target, Map<String, List<String>> headers, byte[] body, String remoteAddress) {

    /**
     * Returns the first value of a header.
     *
     * @param name the name of the header, in any case
     * @return the value, or empty if there is none
     */
    Optional<String> header(String name) {
        List<String> values = headers.getOrDefault(name.toLowerCase(Locale.ROOT), List.of());
        return values.isEmpty() ? Optional.empty() : Optional.of(values.getFirst());
    }

    /**
     * Returns the host that the request is for.
     *
     * @return the value of {@code Host}, empty if there is none
     */
    String host() {
        return header("host").orElse("");
    }

    /**
     * Returns the target without the query.
     *
     * @return the path, as the caller sent it
     */
    String path() {
        int queryStart = target.indexOf('?');
        return queryStart < 0 ? target : target.substring(0, queryStart);
    }

    /**
     * Returns the digest by which repetitions of the request are recognized at any proxy.
     *
     * @param customerIdentity the customer as {@link AttemptExecutor#customerIdentity} returns it; the address of the
     *     connection is a part of it only where it stays the same for a caller
     * @param routedHost the host of the request's selector, empty if the selector is for all hosts
     * @return the digest of customer, host, method, target and body
     */
    RequestDigest digest(String customerIdentity, String routedHost) {
        return RequestDigest.of(customerIdentity, routedHost, method, target, body);
    }

    /**
     * Returns a copy of the request with other headers.
     *
     * @param newHeaders the values of each header by its name
     * @return the request; the body is shared
     */
    CallerRequest withHeaders(Map<String, List<String>> newHeaders) {
        return new CallerRequest(method, target, newHeaders, body, remoteAddress);
    }

    /**
     * Returns the identity that the caller states in a header.
     *
     * @return the value of {@code Cassiabank-Caller}, or empty if there is none
     */
    Optional<String> statedIdentity() {
        return header("cassiabank-caller");
    }
}
