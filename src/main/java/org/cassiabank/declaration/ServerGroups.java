package org.cassiabank.declaration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceRole;

/**
 * The backend servers of each service with their labels. Immutable.
 *
 * <p>If several rules set the same label of an instance, the rule whose pattern has more literal characters wins, then
 * the one with the later name. A leaving mark counts whichever rule sets it.
 */
public final class ServerGroups {
    private static final Comparator<LabelRule> BY_SPECIFICITY = Comparator.<LabelRule>comparingInt(
                    rule -> new GlobPattern(rule.instances()).literalCharacters())
            .thenComparing(LabelRule::name);

    private final Configuration configuration;
    private final InstanceList instances;
    private final Map<String, List<LabeledServer>> byService;

    private ServerGroups(
            Configuration configuration, InstanceList instances, Map<String, List<LabeledServer>> byService) {
        this.configuration = configuration;
        this.instances = instances;
        this.byService = byService;
    }

    /**
     * Labels the instances and groups them by service.
     *
     * @param configuration the configuration with the label rules
     * @param instances the platform's list; only its backend servers count
     * @return the groups
     */
    public static ServerGroups of(Configuration configuration, InstanceList instances) {
        GlobIndex<LabelRule> rules = GlobIndex.empty(Comparator.comparing(LabelRule::name));
        for (LabelRule rule : configuration.labels()) {
            rules = rules.with(rule.instances(), rule);
        }
        Map<String, List<LabeledServer>> groups = new HashMap<>();
        Map<Map<String, String>, Map<String, String>> sharedLabels = new HashMap<>();
        for (Instance instance : instances.withRole(InstanceRole.BACKEND)) {
            List<LabelRule> matching = matchingRules(rules, instance.name());
            Map<String, String> labels = new HashMap<>();
            boolean leaving = !instance.isLive();
            for (LabelRule rule : matching) {
                labels.putAll(rule.set());
                leaving |= "true".equals(rule.set().get(LabelRule.LEAVING_LABEL));
            }
            String service = labels.get(LabelRule.SERVICE_LABEL);
            if (service != null) {
                Map<String, String> shared = sharedLabels.computeIfAbsent(labels, Map::copyOf);
                groups.computeIfAbsent(service, name -> new ArrayList<>())
                        .add(new LabeledServer(instance, shared, leaving));
            }
        }
        groups.replaceAll((service, servers) -> servers.stream()
                .sorted(Comparator.comparing(server -> server.instance().name()))
                .toList());
        return new ServerGroups(configuration, instances, Map.copyOf(groups));
    }

    /**
     * Returns the groups for another configuration or list. The same object is returned if neither the label rules nor
     * the instances differ, so that changes of selectors and services cost nothing here.
     *
     * @param nextConfiguration the configuration
     * @param nextInstances the list
     * @return the groups
     */
    public ServerGroups update(Configuration nextConfiguration, InstanceList nextInstances) {
        boolean sameRules = configuration.ofKind(EntityKind.LABEL) == nextConfiguration.ofKind(EntityKind.LABEL);
        return sameRules && instances == nextInstances ? this : of(nextConfiguration, nextInstances);
    }

    /**
     * Returns the servers of a service.
     *
     * @param service the name of the service
     * @return the servers in the order of their names, leaving ones included; empty if there are none
     */
    public List<LabeledServer> servers(String service) {
        Objects.requireNonNull(service, "service");
        return byService.getOrDefault(service, List.of());
    }

    /**
     * Returns the servers that a selector may use.
     *
     * @param selector the selector
     * @return the servers of its service that carry all its labels
     */
    public List<LabeledServer> servers(Selector selector) {
        List<LabeledServer> servers = servers(selector.service());
        return selector.servers().isEmpty()
                ? servers
                : servers.stream()
                        .filter(server -> server.carries(selector.servers()))
                        .toList();
    }

    private static List<LabelRule> matchingRules(GlobIndex<LabelRule> rules, String instance) {
        List<LabelRule> matching = new ArrayList<>(4);
        rules.forEachList(instance, entries -> {
            for (GlobIndex.Entry<LabelRule> entry : entries) {
                if (entry.pattern().matches(instance)) {
                    matching.add(entry.value());
                }
            }
        });
        matching.sort(BY_SPECIFICITY);
        return matching;
    }
}
