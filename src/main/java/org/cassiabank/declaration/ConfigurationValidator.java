package org.cassiabank.declaration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.cassiabank.kernel.Finding;

/**
 * Checks the relations between the entities of a complete configuration.
 */
public final class ConfigurationValidator {
    // With more changed selectors, searching for the selectors that they cover costs more than a complete validation.
    private static final int MAXIMUM_CHANGED_SELECTORS = 64;

    private final String source;
    private final Configuration configuration;
    private final RequestRouter router;
    private final List<Finding> findings = new ArrayList<>();

    private ConfigurationValidator(String source, RequestRouter router) {
        this.source = source;
        this.configuration = router.configuration();
        this.router = router;
    }

    /**
     * Checks all relations between the entities of a configuration.
     *
     * @param source the name of the file or operation, reported with each finding
     * @param configuration the configuration
     * @return all findings, in the order of their keys; empty if the configuration is valid
     */
    public static List<Finding> validate(String source, Configuration configuration) {
        Objects.requireNonNull(source, "source");
        ConfigurationValidator validator = new ConfigurationValidator(source, RequestRouter.of(configuration));
        return validator.check(selector -> true);
    }

    /**
     * Checks a configuration that differs little from a valid one. The findings are the same as those of
     * {@link #validate}, but only selectors that the difference can make unreachable are checked for reachability.
     *
     * @param source the name of the file or operation, reported with each finding
     * @param validRouter the router of the valid configuration
     * @param newConfiguration the configuration to check
     * @return all findings, in the order of their keys; empty if the configuration is valid
     */
    public static List<Finding> validateChange(
            String source, RequestRouter validRouter, Configuration newConfiguration) {
        Objects.requireNonNull(source, "source");
        List<Selector> changedSelectors = new ArrayList<>();
        validRouter
                .configuration()
                .entitiesOfKind(EntityKind.SELECTOR)
                .forEachDifference(newConfiguration.entitiesOfKind(EntityKind.SELECTOR), (name, before, after) -> {
                    if (after != null) {
                        changedSelectors.add((Selector) after.declaration());
                    }
                });
        ConfigurationValidator validator =
                new ConfigurationValidator(source, validRouter.withConfiguration(newConfiguration));
        if (changedSelectors.size() > MAXIMUM_CHANGED_SELECTORS) {
            return validator.check(selector -> true);
        }
        return validator.check(selector -> changedSelectors.stream()
                .anyMatch(other -> other == selector
                        || other.priority() > selector.priority()
                                && selector.path().startsWith(other.path())));
    }

    private List<Finding> check(Predicate<Selector> mayBeUnreachable) {
        checkLabels();
        checkSelectors(mayBeUnreachable);
        checkFloors();
        checkCustomerKeys();
        findings.sort(Comparator.comparing(Finding::key));
        return List.copyOf(findings);
    }

    private void checkLabels() {
        for (LabelRule rule : configuration.labels()) {
            String service = rule.set().get(LabelRule.SERVICE_LABEL);
            if (service != null && configuration.service(service).isEmpty()) {
                report(rule.key(), "set.service", "unknown service \"" + service + "\"");
            }
        }
    }

    private void checkSelectors(Predicate<Selector> mayBeUnreachable) {
        Map<String, Set<String>> labelValues = new HashMap<>();
        for (LabelRule rule : configuration.labels()) {
            rule.set().forEach((label, value) -> labelValues
                    .computeIfAbsent(label, ignored -> new HashSet<>())
                    .add(value));
        }
        for (Selector selector : configuration.selectors()) {
            if (configuration.service(selector.service()).isEmpty()) {
                report(selector.key(), "service", "unknown service \"" + selector.service() + "\"");
            }
            selector.requiredLabels().forEach((label, value) -> {
                if (!labelValues.getOrDefault(label, Set.of()).contains(value)) {
                    report(selector.key(), "servers." + label, "no label rule sets " + label + " = \"" + value + "\"");
                } else if (label.equals(LabelRule.SERVICE_LABEL) && !value.equals(selector.service())) {
                    report(selector.key(), "servers." + label, "differs from service \"" + selector.service() + "\"");
                }
            });
            Optional<Selector> coveringSelector =
                    mayBeUnreachable.test(selector) ? router.coveringSelector(selector) : Optional.empty();
            coveringSelector.ifPresent(covering -> report(
                    selector.key(),
                    "priority",
                    "unreachable: " + covering.key() + " has priority " + covering.priority()
                            + " and matches every request of this selector"));
        }
    }

    /** Compares ejection floors with the number of servers of services whose label rules all lack wildcards. */
    private void checkFloors() {
        LiteralServers.countByService(configuration).forEach((name, serverCount) -> configuration
                .service(name)
                .filter(service -> service.ejectionFloor() > serverCount)
                .ifPresent(service -> report(
                        service.key(),
                        "floor",
                        "floor " + service.ejectionFloor() + " exceeds the " + serverCount
                                + " servers that label rules put into the service")));
    }

    /** A key of two customers identifies neither. The findings name the customers, not the key. */
    private void checkCustomerKeys() {
        CustomerKeys.findConflicts(configuration.customers())
                .forEach(conflict -> report(
                        new EntityKey(EntityKind.CUSTOMER, conflict.otherCustomer()), "keys", conflict.message()));
    }

    private void report(EntityKey key, String field, String message) {
        findings.add(Finding.of(source, key + "." + field, message));
    }
}
