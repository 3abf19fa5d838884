package org.cassiabank.proxy;

import java.util.List;
import java.util.regex.Pattern;

/**
 * Checks the {@code Host} header, by which requests are routed (RFC 9112, section 3.2).
 */
final class HostHeader {
    /**
     * A registered name or an IP literal with an optional port (RFC 3986, section 3.2), without commas: a list of hosts
     * is the result of merging two headers.
     */
    private static final Pattern HOST_AND_PORT =
            Pattern.compile("(?:[A-Za-z0-9._~!$&'()*+;=%-]*|\\[[0-9A-Fa-fv.:]+])(?::[0-9]{0,5})?");

    private HostHeader() {}

    /**
     * Tells whether a request names at most one host, in a valid form.
     *
     * @param values the values of all {@code Host} headers of the request
     * @param required whether the HTTP version of the request requires the header
     * @return false if the request has to be refused with status 400
     */
    static boolean isValid(List<String> values, boolean required) {
        return values.isEmpty()
                ? !required
                : values.size() == 1
                        && HOST_AND_PORT.matcher(values.getFirst().strip()).matches();
    }
}
