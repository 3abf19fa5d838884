package org.cassiabank.admission;

import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.health.RequestDigest;

/**
 * An entry proxy's request for one slot.
 *
 * @param entryProxy the name of the entry proxy
 * @param selector the name of the selector that matched the request
 * @param route the name under which costs are estimated
 * @param customer the identity between which slots are shared fairly
 * @param costHint the declared cost
 * @param repeatable whether the request may run more than once
 * @param urgencyRank the rank among requests that compete for slots; 0 is the most urgent
 * @param remainingMillis the time until the caller's deadline, in milliseconds
 * @param targetLatencyMillis what is left of the time in which the caller expects a response, in milliseconds; 0 if
 *     none is stated or left
 * @param excludedServers the names of servers that must not be used, for example because an attempt failed there
 * @param requiredLabels the labels that a server must carry
 * @param hints the attempt number and what makes one server cheaper for the entry proxy than another
 * @param digest identifies the request in further attempts and repetitions by its caller
 * @param customerWeight the customer's weight in the fair sharing of slots; 1 for an average customer
 * @param statedTargetMillis the whole time in which the caller expects a response, in milliseconds; 0 if none is stated
 */
public record AdmissionRequest(
        String entryProxy,
        String selector,
        String route,
        String customer,
        CostHint costHint,
        boolean repeatable,
        int urgencyRank,
        long remainingMillis,
        long targetLatencyMillis,
        Set<String> excludedServers,
        Map<String, String> requiredLabels,
        PlacementHints hints,
        RequestDigest digest,
        double customerWeight,
        long statedTargetMillis) {

    /**
     * Copies the collections.
     *
     * @throws NullPointerException if a component or an element is null
     * @throws IllegalArgumentException if the weight is not a positive number
     */
    public AdmissionRequest {
        Objects.requireNonNull(entryProxy, "entryProxy");
        Objects.requireNonNull(selector, "selector");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(costHint, "costHint");
        Objects.requireNonNull(hints, "hints");
        Objects.requireNonNull(digest, "digest");
        excludedServers = Set.copyOf(excludedServers);
        requiredLabels = Map.copyOf(requiredLabels);
        if (!(customerWeight > 0 && customerWeight < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException("weight must be a positive number: " + customerWeight);
        }
    }

    /**
     * Creates the request of a customer with the weight 1, of whose target nothing has passed.
     *
     * @param entryProxy the name of the entry proxy
     * @param selector the name of the selector that matched the request
     * @param route the name under which costs are estimated
     * @param customer the identity between which slots are shared fairly
     * @param costHint the declared cost
     * @param repeatable whether the request may run more than once
     * @param urgencyRank the rank among requests that compete for slots; 0 is the most urgent
     * @param remainingMillis the time until the caller's deadline, in milliseconds
     * @param targetLatencyMillis the time in which the caller expects a response, in milliseconds; 0 if none is stated
     * @param excludedServers the names of servers that must not be used
     * @param requiredLabels the labels that a server must carry
     * @param hints the attempt number and what makes one server cheaper for the entry proxy than another
     * @param digest identifies the request in further attempts and repetitions by its caller
     */
    public AdmissionRequest(
            String entryProxy,
            String selector,
            String route,
            String customer,
            CostHint costHint,
            boolean repeatable,
            int urgencyRank,
            long remainingMillis,
            long targetLatencyMillis,
            Set<String> excludedServers,
            Map<String, String> requiredLabels,
            PlacementHints hints,
            RequestDigest digest) {
        this(
                entryProxy,
                selector,
                route,
                customer,
                costHint,
                repeatable,
                urgencyRank,
                remainingMillis,
                targetLatencyMillis,
                excludedServers,
                requiredLabels,
                hints,
                digest,
                1,
                targetLatencyMillis);
    }

    /**
     * Creates the request for a first attempt of the highest urgency, without a target latency and a digest, by an
     * entry proxy that reaches all servers at the same cost.
     *
     * @param entryProxy the name of the entry proxy
     * @param selector the name of the selector that matched the request
     * @param route the name under which costs are estimated
     * @param customer the identity between which slots are shared fairly
     * @param costHint the declared cost
     * @param repeatable whether the request may run more than once
     * @param remainingMillis the time until the caller's deadline, in milliseconds
     * @param excludedServers the names of servers that must not be used
     * @param requiredLabels the labels that a server must carry
     * @return the request
     */
    public static AdmissionRequest forFirstAttempt(
            String entryProxy,
            String selector,
            String route,
            String customer,
            CostHint costHint,
            boolean repeatable,
            long remainingMillis,
            Set<String> excludedServers,
            Map<String, String> requiredLabels) {
        return new AdmissionRequest(
                entryProxy,
                selector,
                route,
                customer,
                costHint,
                repeatable,
                0,
                remainingMillis,
                0,
                excludedServers,
                requiredLabels,
                PlacementHints.none(),
                RequestDigest.none());
    }

    /**
     * Returns a copy of the request with another urgency.
     *
     * @param newUrgencyRank the rank among requests that compete for slots; 0 is the most urgent
     * @return the request
     */
    public AdmissionRequest withUrgencyRank(int newUrgencyRank) {
        return new AdmissionRequest(
                entryProxy,
                selector,
                route,
                customer,
                costHint,
                repeatable,
                newUrgencyRank,
                remainingMillis,
                targetLatencyMillis,
                excludedServers,
                requiredLabels,
                hints,
                digest,
                customerWeight,
                statedTargetMillis);
    }

    /**
     * Returns a copy of the request that excludes further servers.
     *
     * @param servers the names of the servers that must not be used in addition
     * @return the request
     */
    public AdmissionRequest withFurtherExcludedServers(Set<String> servers) {
        Set<String> allExcludedServers = new HashSet<>(excludedServers);
        allExcludedServers.addAll(servers);
        return new AdmissionRequest(
                entryProxy,
                selector,
                route,
                customer,
                costHint,
                repeatable,
                urgencyRank,
                remainingMillis,
                targetLatencyMillis,
                allExcludedServers,
                requiredLabels,
                hints,
                digest,
                customerWeight,
                statedTargetMillis);
    }

    /**
     * Returns a copy of the request with another remaining time.
     *
     * @param newRemainingMillis the time until the caller's deadline, in milliseconds
     * @return the request
     */
    public AdmissionRequest withRemainingMillis(long newRemainingMillis) {
        return new AdmissionRequest(
                entryProxy,
                selector,
                route,
                customer,
                costHint,
                repeatable,
                urgencyRank,
                newRemainingMillis,
                targetLatencyMillis,
                excludedServers,
                requiredLabels,
                hints,
                digest,
                customerWeight,
                statedTargetMillis);
    }

    /**
     * Returns a copy of the request with another weight of its customer.
     *
     * @param newCustomerWeight the customer's weight in the fair sharing of slots, above 0; 1 for an average customer
     * @return the request
     */
    public AdmissionRequest withCustomerWeight(double newCustomerWeight) {
        return new AdmissionRequest(
                entryProxy,
                selector,
                route,
                customer,
                costHint,
                repeatable,
                urgencyRank,
                remainingMillis,
                targetLatencyMillis,
                excludedServers,
                requiredLabels,
                hints,
                digest,
                newCustomerWeight,
                statedTargetMillis);
    }

    /**
     * Returns a copy of the request with another stated target.
     *
     * @param newStatedTargetMillis the whole time in which the caller expects a response, in milliseconds; 0 if none is
     *     stated
     * @return the request
     */
    public AdmissionRequest withStatedTargetMillis(long newStatedTargetMillis) {
        return new AdmissionRequest(
                entryProxy,
                selector,
                route,
                customer,
                costHint,
                repeatable,
                urgencyRank,
                remainingMillis,
                targetLatencyMillis,
                excludedServers,
                requiredLabels,
                hints,
                digest,
                customerWeight,
                newStatedTargetMillis);
    }
}
