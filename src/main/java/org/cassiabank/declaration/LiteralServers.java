package org.cassiabank.declaration;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Counts the servers of services whose label rules all name single instances. With a wildcard in a rule, the number
 * depends on the instance list, which the validation of a configuration does not have.
 */
final class LiteralServers {
    private LiteralServers() {}

    /**
     * Counts the servers by service.
     *
     * @param configuration the configuration
     * @return the number of servers by name of the service; services that a rule with a wildcard names are absent
     */
    static Map<String, Integer> countByService(Configuration configuration) {
        Map<String, Set<String>> instanceNamesByService = new HashMap<>();
        Set<String> servicesWithWildcardRules = new HashSet<>();
        for (LabelRule rule : configuration.labels()) {
            String service = rule.set().get(LabelRule.SERVICE_LABEL);
            if (service != null && new GlobPattern(rule.instances()).isLiteral()) {
                instanceNamesByService
                        .computeIfAbsent(service, ignored -> new HashSet<>())
                        .add(rule.instances());
            } else if (service != null) {
                servicesWithWildcardRules.add(service);
            }
        }
        instanceNamesByService.keySet().removeAll(servicesWithWildcardRules);
        Map<String, Integer> counts = new HashMap<>();
        instanceNamesByService.forEach((service, instanceNames) -> counts.put(service, instanceNames.size()));
        return Map.copyOf(counts);
    }
}
