package org.cassiabank.declaration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.cassiabank.collection.PersistentMap;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceRole;

/**
 * The backend servers of each service with their labels. Immutable.
 *
 * <p>Rules go before the labels that an instance states of itself. If several rules set the same label of an instance,
 * the rule whose pattern has more literal characters wins, then the one with the later name. A leaving mark counts
 * whichever rule sets it.
 */
public final class ServersByService {
    private static final Comparator<LabelRule> BY_SPECIFICITY = Comparator.<LabelRule>comparingInt(
                    rule -> new GlobPattern(rule.instances()).literalCharacters())
            .thenComparing(LabelRule::name);

    private final Configuration configuration;
    private final InstanceList instances;
    private final GlobIndex<LabelRule> rules;
    private final PersistentMap<String, List<LabeledServer>> byService;

    private ServersByService(
            Configuration configuration,
            InstanceList instances,
            GlobIndex<LabelRule> rules,
            PersistentMap<String, List<LabeledServer>> byService) {
        this.configuration = configuration;
        this.instances = instances;
        this.rules = rules;
        this.byService = byService;
    }

    /**
     * Labels the instances and groups them by service.
     *
     * @param configuration the configuration with the label rules
     * @param instances the platform's list; only its backend servers count
     * @return the servers by service
     */
    public static ServersByService of(Configuration configuration, InstanceList instances) {
        GlobIndex<LabelRule> rules = GlobIndex.empty(Comparator.comparing(LabelRule::name));
        for (LabelRule rule : configuration.labels()) {
            rules = rules.with(rule.instances(), rule);
        }
        return new ServersByService(configuration, InstanceList.empty(), rules, PersistentMap.empty())
                .withInstances(configuration, instances);
    }

    /**
     * Returns the servers by service for another configuration or list. While the label rules are the same, only the
     * services of instances that differ are grouped anew; the same object is returned if neither rules nor instances
     * differ.
     *
     * @param nextConfiguration the configuration
     * @param nextInstances the list
     * @return the servers by service
     */
    public ServersByService with(Configuration nextConfiguration, InstanceList nextInstances) {
        boolean sameRules = configuration.ofKind(EntityKind.LABEL) == nextConfiguration.ofKind(EntityKind.LABEL);
        if (!sameRules) {
            return of(nextConfiguration, nextInstances);
        }
        return instances == nextInstances ? this : withInstances(nextConfiguration, nextInstances);
    }

    private ServersByService withInstances(Configuration nextConfiguration, InstanceList nextInstances) {
        Map<String, Map<String, LabeledServer>> changedServices = new HashMap<>();
        Map<Map<String, String>, Map<String, String>> sharedLabels = new HashMap<>();
        nextInstances.forEachDifference(instances, (name, before, after) -> {
            label(before, sharedLabels).ifPresent(server -> serversOf(changedServices, serviceOf(server))
                    .remove(name));
            label(after, sharedLabels).ifPresent(server -> serversOf(changedServices, serviceOf(server))
                    .put(name, server));
        });
        PersistentMap<String, List<LabeledServer>> groups = byService;
        for (Map.Entry<String, Map<String, LabeledServer>> changed : changedServices.entrySet()) {
            groups = changed.getValue().isEmpty()
                    ? groups.without(changed.getKey())
                    : groups.with(
                            changed.getKey(), List.copyOf(changed.getValue().values()));
        }
        return new ServersByService(nextConfiguration, nextInstances, rules, groups);
    }

    /** The servers of a service by name, to be changed; started from the present ones. */
    private Map<String, LabeledServer> serversOf(Map<String, Map<String, LabeledServer>> changed, String service) {
        return changed.computeIfAbsent(service, name -> {
            Map<String, LabeledServer> present = new TreeMap<>();
            servers(name).forEach(server -> present.put(server.instance().name(), server));
            return present;
        });
    }

    /** Labels an instance; empty if there is none, or if it is not a backend server of a service. */
    private Optional<LabeledServer> label(
            Instance instance, Map<Map<String, String>, Map<String, String>> sharedLabels) {
        if (instance == null || instance.role() != InstanceRole.BACKEND) {
            return Optional.empty();
        }
        Map<String, String> labels = new HashMap<>(instance.labels());
        boolean leaving = !instance.isLive();
        for (LabelRule rule : matchingRules(rules, instance.name())) {
            labels.putAll(rule.set());
            leaving |= "true".equals(rule.set().get(LabelRule.LEAVING_LABEL));
        }
        if (!labels.containsKey(LabelRule.SERVICE_LABEL)) {
            return Optional.empty();
        }
        return Optional.of(new LabeledServer(instance, sharedLabels.computeIfAbsent(labels, Map::copyOf), leaving));
    }

    private static String serviceOf(LabeledServer server) {
        return server.labels().get(LabelRule.SERVICE_LABEL);
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
        return selector.requiredLabels().isEmpty()
                ? servers
                : servers.stream()
                        .filter(server -> server.hasLabels(selector.requiredLabels()))
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
