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
 * <p>Labels set by rules take precedence over the labels of the instance itself. If several rules set the same label of
 * an instance, the rule whose pattern has more literal characters takes precedence, then the one with the later name.
 * An instance is leaving if any matching rule marks it as leaving, regardless of the precedence of this rule.
 */
public final class ServersByService {
    private static final Comparator<LabelRule> BY_SPECIFICITY = Comparator.<LabelRule>comparingInt(
                    rule -> new GlobPattern(rule.instances()).literalCharacters())
            .thenComparing(LabelRule::name);

    private final Configuration configuration;
    private final InstanceList instances;
    private final GlobIndex<LabelRule> labelRules;
    private final PersistentMap<String, List<LabeledServer>> serversByService;

    private ServersByService(
            Configuration configuration,
            InstanceList instances,
            GlobIndex<LabelRule> labelRules,
            PersistentMap<String, List<LabeledServer>> serversByService) {
        this.configuration = configuration;
        this.instances = instances;
        this.labelRules = labelRules;
        this.serversByService = serversByService;
    }

    /**
     * Applies the label rules to the instances and groups them by service.
     *
     * @param configuration the configuration with the label rules
     * @param instances the platform's instance list; only its backend servers are included
     * @return the servers by service
     */
    public static ServersByService of(Configuration configuration, InstanceList instances) {
        GlobIndex<LabelRule> labelRules = GlobIndex.empty(Comparator.comparing(LabelRule::name));
        for (LabelRule rule : configuration.labels()) {
            labelRules = labelRules.with(rule.instances(), rule);
        }
        return new ServersByService(configuration, InstanceList.empty(), labelRules, PersistentMap.empty())
                .withInstances(configuration, instances);
    }

    /**
     * Returns the servers by service for another configuration or instance list. If the label rules are the same, only
     * the services of instances that differ are updated; this object is returned if neither rules nor instances differ.
     *
     * @param newConfiguration the configuration with the label rules
     * @param newInstances the platform's instance list
     * @return the servers by service
     */
    public ServersByService with(Configuration newConfiguration, InstanceList newInstances) {
        boolean sameRules =
                configuration.entitiesOfKind(EntityKind.LABEL) == newConfiguration.entitiesOfKind(EntityKind.LABEL);
        if (!sameRules) {
            return of(newConfiguration, newInstances);
        }
        return instances == newInstances ? this : withInstances(newConfiguration, newInstances);
    }

    private ServersByService withInstances(Configuration newConfiguration, InstanceList newInstances) {
        Map<String, Map<String, LabeledServer>> changedServices = new HashMap<>();
        Map<Map<String, String>, Map<String, String>> sharedLabels = new HashMap<>();
        newInstances.forEachDifference(instances, (name, before, after) -> {
            labelServer(before, sharedLabels)
                    .ifPresent(server -> modifiableServersOf(changedServices, serviceOf(server))
                            .remove(name));
            labelServer(after, sharedLabels).ifPresent(server -> modifiableServersOf(changedServices, serviceOf(server))
                    .put(name, server));
        });
        PersistentMap<String, List<LabeledServer>> newServersByService = serversByService;
        for (Map.Entry<String, Map<String, LabeledServer>> changedService : changedServices.entrySet()) {
            newServersByService = changedService.getValue().isEmpty()
                    ? newServersByService.without(changedService.getKey())
                    : newServersByService.with(
                            changedService.getKey(),
                            List.copyOf(changedService.getValue().values()));
        }
        return new ServersByService(newConfiguration, newInstances, labelRules, newServersByService);
    }

    /** Returns a modifiable map of the servers of a service by instance name, initially the current ones. */
    private Map<String, LabeledServer> modifiableServersOf(
            Map<String, Map<String, LabeledServer>> changedServices, String service) {
        return changedServices.computeIfAbsent(service, name -> {
            Map<String, LabeledServer> servers = new TreeMap<>();
            servers(name).forEach(server -> servers.put(server.instance().name(), server));
            return servers;
        });
    }

    /**
     * Applies the label rules to an instance. Equal sets of labels share one map in {@code sharedLabels}.
     *
     * @return the labeled server, or empty if the instance is null or not a backend server of a service
     */
    private Optional<LabeledServer> labelServer(
            Instance instance, Map<Map<String, String>, Map<String, String>> sharedLabels) {
        if (instance == null || instance.role() != InstanceRole.BACKEND) {
            return Optional.empty();
        }
        Map<String, String> labels = new HashMap<>(instance.labels());
        boolean leaving = !instance.isLive();
        for (LabelRule rule : matchingRules(labelRules, instance.name())) {
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
     * @return the servers in the order of their names, including leaving ones; empty if there are none
     */
    public List<LabeledServer> servers(String service) {
        Objects.requireNonNull(service, "service");
        return serversByService.getOrDefault(service, List.of());
    }

    /**
     * Returns the servers to which a selector may send requests.
     *
     * @param selector the selector
     * @return the servers of its service that have all labels it requires, including leaving ones
     */
    public List<LabeledServer> servers(Selector selector) {
        List<LabeledServer> servers = servers(selector.service());
        return selector.requiredLabels().isEmpty()
                ? servers
                : servers.stream()
                        .filter(server -> server.hasLabels(selector.requiredLabels()))
                        .toList();
    }

    private static List<LabelRule> matchingRules(GlobIndex<LabelRule> labelRules, String instanceName) {
        List<LabelRule> matching = new ArrayList<>(4);
        labelRules.forEachCandidateList(instanceName, entries -> {
            for (GlobIndex.Entry<LabelRule> entry : entries) {
                if (entry.pattern().matches(instanceName)) {
                    matching.add(entry.value());
                }
            }
        });
        matching.sort(BY_SPECIFICITY);
        return matching;
    }
}
