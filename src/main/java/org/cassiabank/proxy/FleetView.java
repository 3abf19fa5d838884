package org.cassiabank.proxy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import org.cassiabank.declaration.Configuration;
import org.cassiabank.declaration.CustomerKeys;
import org.cassiabank.declaration.LabeledServer;
import org.cassiabank.declaration.RequestRouter;
import org.cassiabank.declaration.ServersByService;
import org.cassiabank.declaration.ServiceDeclaration;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.RendezvousHash;

/**
 * A snapshot of the fleet as one daemon sees it: the configuration, the instance list and the values derived from them.
 *
 * <p>Thread-safe. The state never changes; derived values that are costly to compute are cached.
 */
final class FleetView {
    private static final int MAXIMUM_OWNER_CANDIDATES = 3;

    private final RequestRouter router;
    private final CustomerKeys customerKeys;
    private final ServersByService serversByService;
    private final InstanceList instances;
    private final String region;
    private final int floorPercent;
    private final List<Instance> regionProxies;
    private final Map<OwnedPart, List<Instance>> ownerCandidatesByShard;
    private final Map<String, ShardDivision> divisionsByService = new ConcurrentHashMap<>();

    private FleetView(
            RequestRouter router,
            ServersByService serversByService,
            InstanceList instances,
            String region,
            int floorPercent,
            FleetView formerView) {
        this.router = router;
        this.customerKeys = formerView == null
                ? CustomerKeys.of(router.configuration())
                : formerView.customerKeys.withConfiguration(router.configuration());
        this.serversByService = serversByService;
        this.instances = instances;
        this.region = region;
        this.floorPercent = floorPercent;
        // Most changes concern only backend servers. The owner candidates are costly to compute and stay valid then.
        boolean sameProxies = formerView != null && haveSameProxies(formerView.instances, instances);
        List<Instance> newRegionProxies = sameProxies ? formerView.regionProxies : liveProxies(instances, region);
        this.regionProxies = newRegionProxies;
        this.ownerCandidatesByShard = sameProxies ? formerView.ownerCandidatesByShard : new ConcurrentHashMap<>();
    }

    static FleetView empty(String region) {
        return empty(region, 0);
    }

    /**
     * Returns the view without any configuration or instances.
     *
     * @param region the region of this daemon
     * @param floorPercent the share of a service's servers that ejection leaves in service where the service declares
     *     no floor, in percent
     * @return the view
     */
    static FleetView empty(String region, int floorPercent) {
        Configuration configuration = Configuration.empty();
        InstanceList instances = InstanceList.empty();
        return new FleetView(
                RequestRouter.of(configuration),
                ServersByService.of(configuration, instances),
                instances,
                region,
                floorPercent,
                null);
    }

    FleetView withConfiguration(Configuration configuration) {
        return new FleetView(
                router.withConfiguration(configuration),
                serversByService.with(configuration, instances),
                instances,
                region,
                floorPercent,
                this);
    }

    FleetView withInstances(InstanceList newInstances) {
        return new FleetView(
                router,
                serversByService.with(router.configuration(), newInstances),
                newInstances,
                region,
                floorPercent,
                this);
    }

    Configuration configuration() {
        return router.configuration();
    }

    InstanceList instances() {
        return instances;
    }

    RequestRouter router() {
        return router;
    }

    /** Returns the lookup of customers by their keys. */
    CustomerKeys customerKeys() {
        return customerKeys;
    }

    Optional<ServiceDeclaration> service(String name) {
        return configuration().service(name);
    }

    /**
     * Returns the live proxies of this daemon's region.
     *
     * @return the proxies in list order
     */
    List<Instance> regionProxies() {
        return regionProxies;
    }

    /**
     * Returns the live proxies of all regions.
     *
     * @return the proxies in list order
     */
    List<Instance> liveProxies() {
        return instances.instancesWithRole(InstanceRole.PROXY).stream()
                .filter(Instance::isLive)
                .toList();
    }

    /**
     * Returns how many regions have owners that schedule the same servers independently.
     *
     * @return the number of regions with live proxies, at least 1
     */
    int schedulingRegionCount() {
        return Math.max(
                1, (int) liveProxies().stream().map(Instance::region).distinct().count());
    }

    /**
     * Returns the addresses of all listed backend servers.
     *
     * @return the addresses, leaving servers included
     */
    Set<String> serverAddresses() {
        return instances.instancesWithRole(InstanceRole.BACKEND).stream()
                .map(Instance::address)
                .collect(Collectors.toSet());
    }

    /**
     * Tells whether new requests may be sent to a server according to this daemon's instance list. The check is needed
     * because an owner that is cut off from the store can grant a slot of a server that has left.
     *
     * @param serverName the name of the server
     * @return false if the server is leaving or not listed
     */
    boolean isAcceptingRequests(String serverName) {
        return instances.find(serverName).filter(Instance::isLive).isPresent();
    }

    /**
     * Returns the start of a server according to this daemon's instance list.
     *
     * @param serverName the name of the server
     * @return its incarnation, 0 if the server is not listed or the platform does not report it
     */
    long incarnation(String serverName) {
        return instances.find(serverName).map(Instance::incarnation).orElse(0L);
    }

    /**
     * Returns the proxies that are asked for slots of a shard, in this order: the owner, then those that replace it.
     * Those of the failure domain of the shard come first.
     *
     * @param shard the shard
     * @return at most three proxies of this daemon's region; empty if no live proxy is listed
     */
    List<Instance> ownerCandidates(ShardKey shard) {
        Optional<FailureDomain> domain = division(shard.service()).failureDomain(shard.number());
        return ownerCandidatesByShard.computeIfAbsent(new OwnedPart(shard, domain), key -> {
            List<Instance> order = new ArrayList<>(RendezvousHash.order("shard/" + shard, regionProxies));
            // The sort is stable and keeps the rendezvous order within the domain and outside.
            domain.ifPresent(owners -> order.sort(
                    Comparator.comparing(proxy -> !FailureDomain.of(proxy).equals(owners))));
            return List.copyOf(order.subList(0, Math.min(MAXIMUM_OWNER_CANDIDATES, order.size())));
        });
    }

    /**
     * Returns how many shards a service has.
     *
     * @param service the name of the service
     * @return at least 1
     */
    int shardCount(String service) {
        return division(service).shards().size();
    }

    /**
     * Returns how the servers of a service are divided into shards.
     *
     * @param service the name of the service
     * @return the division, the same in all daemons with the same list of servers
     */
    ShardDivision division(String service) {
        return divisionsByService.computeIfAbsent(service, name -> ShardDivision.of(serversByService.servers(name)));
    }

    /**
     * Returns the backend servers of a shard, leaving ones included.
     *
     * @param shard the shard
     * @return the servers; empty if the service has no such shard
     */
    List<LabeledServer> servers(ShardKey shard) {
        return division(shard.service()).servers(shard.number());
    }

    /**
     * Returns how many servers of a shard ejection must leave in service, so that all shards together keep the floor of
     * their service. The floor is the declared one or else a percentage of the servers; a shard gets its proportional
     * part, rounded up.
     *
     * @param shard the shard
     * @return the number of servers; from 0 to the size of the shard if the service has servers
     */
    int ejectionFloor(ShardKey shard) {
        int serverCount = serversByService.servers(shard.service()).size();
        int declaredFloor =
                service(shard.service()).map(ServiceDeclaration::ejectionFloor).orElse(0);
        int serviceFloor = declaredFloor > 0 ? declaredFloor : (serverCount * floorPercent + 99) / 100;
        int shardServerCount = servers(shard).size();
        return serverCount == 0
                ? serviceFloor
                : Math.min(shardServerCount, (int) Math.ceil((double) serviceFloor * shardServerCount / serverCount));
    }

    private static boolean haveSameProxies(InstanceList formerInstances, InstanceList newInstances) {
        AtomicBoolean same = new AtomicBoolean(true);
        newInstances.forEachDifference(formerInstances, (name, before, after) -> {
            if (isProxy(before) || isProxy(after)) {
                same.set(false);
            }
        });
        return same.get();
    }

    private static boolean isProxy(Instance instance) {
        return instance != null && instance.role() == InstanceRole.PROXY;
    }

    private static List<Instance> liveProxies(InstanceList instances, String region) {
        return instances.instancesWithRole(InstanceRole.PROXY).stream()
                .filter(instance -> instance.isLive() && instance.region().equals(region))
                .toList();
    }

    /** A shard with the failure domain that its owners come from. */
    private record OwnedPart(ShardKey shard, Optional<FailureDomain> domain) {}
}
