package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.cassiabank.backend.HeaderConventions;
import org.cassiabank.declaration.CustomerDeclaration;
import org.cassiabank.declaration.CustomerKeys;
import org.cassiabank.declaration.Selector;

/**
 * Identifies the customers of requests by their keys. It has an effect only while the configuration has customers.
 */
final class CustomerCheck {
    /** The reason of a refusal because the request has no key of a customer and its selector requires one. */
    static final String UNKNOWN_KEY = "unknown-key";

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final FleetState fleet;
    private final HeaderConventions conventions;
    private final ProxyMetrics metrics;

    private CustomerCheck(FleetState fleet, HeaderConventions conventions, ProxyMetrics metrics) {
        this.fleet = fleet;
        this.conventions = conventions;
        this.metrics = metrics;
    }

    static CustomerCheck create(FleetState fleet, HeaderConventions conventions, ProxyMetrics metrics) {
        CustomerCheck check = new CustomerCheck(
                Objects.requireNonNull(fleet, "fleet"),
                Objects.requireNonNull(conventions, "conventions"),
                Objects.requireNonNull(metrics, "metrics"));
        fleet.addListener(CustomerCheck::logIfRequirementChanges);
        return check;
    }

    /**
     * Looks up the key of a request and removes it from the headers, together with a header of a customer that the
     * caller has set.
     *
     * @param view the view of the fleet by which the request is handled
     * @param request the request as its caller sent it
     * @return the request with the identity of its caller
     */
    CheckedRequest identify(FleetView view, CallerRequest request) {
        CustomerKeys keys = view.customerKeys();
        if (!keys.areRequired()) {
            return new CheckedRequest(request, new CallerIdentity.Unchecked());
        }
        Optional<String> keyDigest = keyDigest(request);
        CallerIdentity identity = keyDigest
                .flatMap(digest -> identified(keys, digest))
                .orElseGet(() -> new CallerIdentity.Unidentified(keyDigest.isPresent()));
        return new CheckedRequest(withoutCustomerHeaders(request), identity);
    }

    /**
     * Identifies the caller of a request that a peer has passed on.
     *
     * @param view the view of the fleet by which the request is handled
     * @param request the request of the peer's caller
     * @param customer the customer whose key the peer has checked, empty if it named none
     * @return the request with the identity of its caller; empty if the customer is not declared here
     */
    Optional<CheckedRequest> identifyForwarded(FleetView view, CallerRequest request, Optional<String> customer) {
        if (customer.isPresent()) {
            return view.configuration()
                    .customer(customer.get())
                    .map(declaration -> new CheckedRequest(
                            withoutCustomerHeaders(request), new CallerIdentity.Vouched(declaration)));
        }
        if (!view.customerKeys().areRequired()) {
            return Optional.of(new CheckedRequest(request, new CallerIdentity.Unchecked()));
        }
        // A peer of a former release has not checked the key and may have left it in the headers.
        return Optional.of(new CheckedRequest(withoutCustomerHeaders(request), new CallerIdentity.Unidentified(false)));
    }

    /**
     * Decides whether a request is admitted, and counts the decision.
     *
     * @param request the request
     * @param selector the selector of the request
     * @return false if the selector requires a key of a customer and the request has none
     */
    boolean admits(CheckedRequest request, Selector selector) {
        boolean admitted = isAdmitted(request.identity(), selector);
        switch (request.identity()) {
            case CallerIdentity.Unchecked unchecked -> {
                // Nothing was checked.
            }
            case CallerIdentity.Unidentified unidentified
            when !admitted -> metrics.recordCustomerCheck(unidentified.keySent() ? UNKNOWN_KEY : "missing-key");
            case CallerIdentity.Unidentified unidentified -> metrics.recordCustomerCheck("anonymous");
            case CallerIdentity.Identified identified -> metrics.recordCustomerCheck("identified");
            case CallerIdentity.Vouched vouched -> metrics.recordCustomerCheck("vouched");
        }
        return admitted;
    }

    /**
     * Checks a request by the configuration that is in force now, for example after it has waited for a slot.
     *
     * @param request the request as it was checked before
     * @param selector the selector of the request
     * @return the request with the present customer of its key; empty if it is no longer admitted
     */
    Optional<CheckedRequest> recheck(CheckedRequest request, Selector selector) {
        FleetView view = fleet.view();
        CustomerKeys keys = view.customerKeys();
        if (!keys.areRequired()) {
            return Optional.of(request);
        }
        CheckedRequest rechecked =
                switch (request.identity()) {
                    case CallerIdentity.Unchecked unchecked -> identify(view, request.request());
                    case CallerIdentity.Unidentified unidentified -> request;
                    case CallerIdentity.Identified identified ->
                        new CheckedRequest(
                                request.request(),
                                identified(keys, identified.keyDigest())
                                        .orElseGet(() -> new CallerIdentity.Unidentified(true)));
                    case CallerIdentity.Vouched vouched ->
                        isUnchanged(view, vouched.declaration())
                                ? request
                                : new CheckedRequest(request.request(), new CallerIdentity.Unidentified(true));
                };
        return Optional.of(rechecked).filter(found -> isAdmitted(found.identity(), selector));
    }

    /** Counts a request that was admitted and whose key was withdrawn before it ran. */
    void recordWithdrawn() {
        metrics.recordCustomerCheck("withdrawn-key");
    }

    private static boolean isAdmitted(CallerIdentity identity, Selector selector) {
        return !(identity instanceof CallerIdentity.Unidentified) || selector.anonymous();
    }

    private static Optional<CallerIdentity> identified(CustomerKeys keys, String keyDigest) {
        return keys.find(keyDigest).map(customer -> new CallerIdentity.Identified(customer.name(), keyDigest));
    }

    /** Without the key, only the unchanged keys of the customer show that the key that the peer checked still holds. */
    private static boolean isUnchanged(FleetView view, CustomerDeclaration declaration) {
        return view.configuration()
                .customer(declaration.name())
                .filter(customer -> customer.keyDigests().equals(declaration.keyDigests()))
                .isPresent();
    }

    /** Returns the digest of the key; empty if there is none or, as nobody could tell which one counts, several. */
    private Optional<String> keyDigest(CallerRequest request) {
        return conventions
                .credentialHeader()
                .map(name -> request.headers().getOrDefault(name.toLowerCase(Locale.ROOT), List.of()))
                .filter(values -> values.size() == 1 && !values.getFirst().isBlank())
                .map(values -> CustomerDeclaration.keyDigest(decode(values.getFirst())));
    }

    /** Each character of a received header stands for one byte; keys are declared as text in UTF-8. */
    private static String decode(String headerValue) {
        return new String(headerValue.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
    }

    private CallerRequest withoutCustomerHeaders(CallerRequest request) {
        Map<String, List<String>> headers = new HashMap<>(request.headers());
        conventions.credentialHeader().ifPresent(name -> headers.keySet().removeIf(name::equalsIgnoreCase));
        conventions.customerHeader().ifPresent(name -> headers.keySet().removeIf(name::equalsIgnoreCase));
        return request.withHeaders(headers);
    }

    private static void logIfRequirementChanges(FleetView formerView, FleetView newView) {
        boolean required = newView.customerKeys().areRequired();
        if (required != formerView.customerKeys().areRequired()) {
            LOGGER.atInfo().log(
                    "callers %s keys of customers from configuration revision %d on",
                    required ? "need" : "no longer need",
                    newView.configuration().revision());
        }
    }
}
