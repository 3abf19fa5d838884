package org.cassiabank.proxy;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * A whole request of a caller.
 *
 * @param method the HTTP method
 * @param target the path with the query
 * @param headers the headers by lower-case name
 * @param body the body, empty if there is none; not copied
 * @param remoteAddress the IP number of the connection
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
     * Returns the path without the query.
     *
     * @return the path
     */
    String path() {
        int question = target.indexOf('?');
        return question < 0 ? target : target.substring(0, question);
    }

    /**
     * Returns the identity for fairness between callers.
     *
     * @return the value of {@code Cassiabank-Caller}, or the address of the connection
     */
    String caller() {
        return statedCaller().orElse(remoteAddress);
    }

    /**
     * Returns the identity that the caller states.
     *
     * @return the value of {@code Cassiabank-Caller}, or empty if there is none
     */
    Optional<String> statedCaller() {
        return header("cassiabank-caller");
    }
}
