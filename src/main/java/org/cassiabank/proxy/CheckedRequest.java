package org.cassiabank.proxy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.cassiabank.backend.BackendHeaders;
import org.cassiabank.backend.HeaderConventions;

/**
 * A request of a caller with what its key showed.
 *
 * @param request the request; without the headers of key and customer unless the identity is unchecked
 * @param identity what is known of the sender
 */
record CheckedRequest(CallerRequest request, CallerIdentity identity) {

    /**
     * Checks that no component is null.
     */
    CheckedRequest {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(identity, "identity");
    }

    /**
     * Returns the customer whose key identified it.
     *
     * @return the name of the customer, empty if there is none
     */
    Optional<String> customer() {
        return identity.customer();
    }

    /**
     * Returns the identity that the caller states in a header. Where the configuration has customers, only keys
     * identify callers, so that nobody can state the name of a customer.
     *
     * @return the customer that a key identified; without customers in the configuration, the stated identity
     */
    Optional<String> trustedIdentity() {
        return identity instanceof CallerIdentity.Unchecked ? request.statedIdentity() : customer();
    }

    /**
     * Returns the customer by which the request is routed.
     *
     * @return the trusted identity, or the address of the connection if there is none
     */
    String routingCustomer() {
        return trustedIdentity().orElse(request.remoteAddress());
    }

    /**
     * Returns the request as a backend server receives it.
     *
     * @param conventions the headers between proxies and servers
     * @return the request with the header of its customer; unchanged if there is none
     */
    CallerRequest requestForServer(HeaderConventions conventions) {
        if (customer().isEmpty() || conventions.customerHeader().isEmpty()) {
            return request;
        }
        // A caller could otherwise name the header in Connection, by which it would not be forwarded.
        Map<String, List<String>> headers = new LinkedHashMap<>(BackendHeaders.endToEnd(request.headers()));
        headers.put(conventions.customerHeader().get(), List.of(customer().get()));
        return request.withHeaders(headers);
    }
}
