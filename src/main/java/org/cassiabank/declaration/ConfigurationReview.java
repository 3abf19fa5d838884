package org.cassiabank.declaration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.cassiabank.kernel.Finding;

/**
 * Finds entities of a valid configuration that have no effect, and limits that contradict each other. What
 * {@link ConfigurationValidator} rejects is not reported again: among others selectors that a single one of higher
 * priority covers, and ejection floors above the number of servers.
 */
public final class ConfigurationReview {
    private final String source;
    private final Configuration configuration;
    private final List<Finding> warnings = new ArrayList<>();

    private ConfigurationReview(String source, Configuration configuration) {
        this.source = source;
        this.configuration = configuration;
    }

    /**
     * Reviews a configuration.
     *
     * @param source the name of the file or operation, reported with each warning
     * @param configuration the configuration, in which {@link ConfigurationValidator#validate} finds nothing
     * @return the warnings, in the order of their keys, which start with the key of the entity
     */
    public static List<Finding> review(String source, Configuration configuration) {
        ConfigurationReview review = new ConfigurationReview(
                Objects.requireNonNull(source, "source"), Objects.requireNonNull(configuration, "configuration"));
        review.reviewServices();
        review.reviewLabels();
        review.reviewReachability();
        review.reviewRequestLimits();
        review.reviewCustomers();
        review.reviewConnectionLimits();
        review.warnings.sort(Comparator.comparing(Finding::key).thenComparing(Finding::message));
        return List.copyOf(review.warnings);
    }

    private void reviewServices() {
        Set<String> selectedServices = new HashSet<>();
        configuration.selectors().forEach(selector -> selectedServices.add(selector.service()));
        for (ServiceDeclaration service : configuration.services()) {
            if (!selectedServices.contains(service.name())) {
                warnings.add(Finding.of(source, service.key().toString(), "no selector names this service"));
            }
        }
    }

    private void reviewLabels() {
        Set<Map.Entry<String, String>> requiredLabels = new HashSet<>();
        configuration
                .selectors()
                .forEach(selector ->
                        requiredLabels.addAll(selector.requiredLabels().entrySet()));
        for (LabelRule rule : configuration.labels()) {
            boolean isUsed = rule.set().entrySet().stream()
                    .anyMatch(label -> requiredLabels.contains(label)
                            || label.getKey().equals(LabelRule.SERVICE_LABEL)
                            || label.getKey().equals(LabelRule.LEAVING_LABEL));
            if (!isUsed) {
                warn(rule.key(), "set", "no service or selector uses these labels");
            }
        }
    }

    /**
     * Finds selectors that several others cover together, a different one for each method, and selectors that repeat
     * another one. Equal selectors share requests by weight, and weights are at least 1, so any other selector gets a
     * share.
     */
    private void reviewReachability() {
        RequestRouter router = RequestRouter.of(configuration);
        Map<Selector, Selector> firstSelectors = new HashMap<>();
        for (Selector selector : configuration.selectors().stream()
                .sorted(Comparator.comparing(Selector::name))
                .toList()) {
            if (selector.methods().size() > 1
                    && router.coveringSelector(selector).isEmpty()
                    && selector.methods().stream().allMatch(method -> router.coveringSelector(
                                    copy(selector, selector.name(), Set.of(method), selector.weight()))
                            .isPresent())) {
                warn(selector.key(), "priority", "unreachable: selectors of higher priority match each of its methods");
            }
            Selector first = firstSelectors.putIfAbsent(copy(selector, "any", selector.methods(), 1), selector);
            if (first != null) {
                warn(selector.key(), "path", "repeats " + first.key() + ", which differs at most in its weight");
            }
        }
    }

    private static Selector copy(Selector selector, String name, Set<String> methods, int weight) {
        return new Selector(
                name,
                selector.service(),
                methods,
                selector.path(),
                selector.customerPattern(),
                selector.requiredLabels(),
                weight,
                selector.repeatable(),
                selector.costHint(),
                selector.priority(),
                selector.host(),
                selector.anonymous(),
                selector.limits());
    }

    private void reviewRequestLimits() {
        Map<String, Integer> serverCounts = LiteralServers.countByService(configuration);
        for (Selector selector : configuration.selectors()) {
            RequestLimits limits = selector.limits();
            if (limits.timeoutMillis() > 0 && limits.timeoutMillis() < limits.targetLatencyMillis()) {
                warn(
                        selector.key(),
                        DeclarationRules.TIMEOUT_MILLIS.key(),
                        "timeout of " + limits.timeoutMillis() + " ms is below the target of "
                                + limits.targetLatencyMillis() + " ms");
            }
            configuration
                    .service(selector.service())
                    .filter(service -> limits.timeoutMillis() > service.defaultDeadlineMillis())
                    .ifPresent(service -> warn(
                            selector.key(),
                            DeclarationRules.TIMEOUT_MILLIS.key(),
                            "timeout of " + limits.timeoutMillis() + " ms is above the default deadline of "
                                    + service.key() + ", " + service.defaultDeadlineMillis() + " ms"));
            Integer serverCount = serverCounts.get(selector.service());
            // A selector that declares no number has the default, which suits services of any size.
            if (serverCount != null
                    && limits.maximumAttempts() > serverCount
                    && limits.maximumAttempts() != RequestLimits.defaults().maximumAttempts()) {
                warn(
                        selector.key(),
                        DeclarationRules.MAXIMUM_ATTEMPTS.key(),
                        limits.maximumAttempts() + " attempts exceed the " + serverCount
                                + " servers that label rules put into service." + selector.service());
            }
        }
    }

    private void reviewCustomers() {
        for (CustomerDeclaration customer : configuration.customers()) {
            if (customer.keyDigests().isEmpty()) {
                warn(customer.key(), "keys", "the customer has no keys, so no caller is identified as this customer");
            }
            if (customer.burst() > 0 && !customer.isLimited()) {
                warn(customer.key(), DeclarationRules.BURST.key(), "has no effect without requests-per-second");
            }
            if (customer.isLimited() && customer.requestsPerSecond() < 1) {
                warn(
                        customer.key(),
                        "requests-per-second",
                        "one request a second exceeds the limit of " + customer.requestsPerSecond());
            }
        }
    }

    /** A declared size of 0 means that the settings of the daemon apply, so it is not compared. */
    private void reviewConnectionLimits() {
        configuration
                .connectionLimits()
                .filter(limits -> limits.bodyBytes() > 0 && limits.bodyBytes() < limits.headerBytes())
                .ifPresent(limits -> warn(
                        limits.key(),
                        DeclarationRules.BODY_BYTES.key(),
                        "bodies of at most " + limits.bodyBytes() + " bytes are smaller than the headers, at most "
                                + limits.headerBytes() + " bytes"));
    }

    private void warn(EntityKey key, String field, String message) {
        warnings.add(Finding.of(source, key + "." + field, message));
    }
}
