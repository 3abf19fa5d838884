package org.cassiabank.declaration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.cassiabank.kernel.Finding;

/**
 * Checks the relations between the entities of a whole configuration.
 */
public final class ConfigurationValidator {
    private final String source;
    private final Configuration configuration;
    private final List<Finding> findings = new ArrayList<>();

    private ConfigurationValidator(String source, Configuration configuration) {
        this.source = source;
        this.configuration = configuration;
    }

    /**
     * Checks a configuration.
     *
     * @param source the name of the file or operation, for reports
     * @param configuration the configuration
     * @return all findings, in the order of their keys; empty if the configuration is valid
     */
    public static List<Finding> validate(String source, Configuration configuration) {
        Objects.requireNonNull(source, "source");
        ConfigurationValidator validator = new ConfigurationValidator(source, configuration);
        validator.checkLabels();
        validator.checkSelectors();
        validator.checkFloors();
        validator.findings.sort((left, right) -> left.key().compareTo(right.key()));
        return List.copyOf(validator.findings);
    }

    private void checkLabels() {
        for (LabelRule rule : configuration.labels()) {
            String service = rule.set().get(LabelRule.SERVICE_LABEL);
            if (service != null && configuration.service(service).isEmpty()) {
                report(rule.key(), "set.service", "unknown service \"" + service + "\"");
            }
        }
    }

    private void checkSelectors() {
        Map<String, Set<String>> labelValues = new HashMap<>();
        for (LabelRule rule : configuration.labels()) {
            rule.set().forEach((label, value) -> labelValues
                    .computeIfAbsent(label, ignored -> new HashSet<>())
                    .add(value));
        }
        RequestRouter router = RequestRouter.of(configuration);
        for (Selector selector : configuration.selectors()) {
            if (configuration.service(selector.service()).isEmpty()) {
                report(selector.key(), "service", "unknown service \"" + selector.service() + "\"");
            }
            selector.servers().forEach((label, value) -> {
                if (!labelValues.getOrDefault(label, Set.of()).contains(value)) {
                    report(selector.key(), "servers." + label, "no label rule sets " + label + " = \"" + value + "\"");
                } else if (label.equals(LabelRule.SERVICE_LABEL) && !value.equals(selector.service())) {
                    report(selector.key(), "servers." + label, "differs from service \"" + selector.service() + "\"");
                }
            });
            router.coveringSelector(selector)
                    .ifPresent(covering -> report(
                            selector.key(),
                            "priority",
                            "unreachable: " + covering.key() + " has priority " + covering.priority()
                                    + " and matches every request of this selector"));
        }
    }

    /** Compares floors with the number of servers where rules without wildcards make it known. */
    private void checkFloors() {
        Map<String, Set<String>> servers = new HashMap<>();
        Set<String> unlimited = new HashSet<>();
        for (LabelRule rule : configuration.labels()) {
            String service = rule.set().get(LabelRule.SERVICE_LABEL);
            if (service != null && new GlobPattern(rule.instances()).isLiteral()) {
                servers.computeIfAbsent(service, ignored -> new HashSet<>()).add(rule.instances());
            } else if (service != null) {
                unlimited.add(service);
            }
        }
        servers.forEach((name, instances) -> configuration.service(name).ifPresent(service -> {
            if (!unlimited.contains(name) && service.floor() > instances.size()) {
                report(
                        service.key(),
                        "floor",
                        "floor " + service.floor() + " exceeds the " + instances.size()
                                + " servers that label rules put into the service");
            }
        }));
    }

    private void report(EntityKey key, String field, String message) {
        findings.add(Finding.of(source, key + "." + field, message));
    }
}
