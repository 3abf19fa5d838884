package org.cassiabank.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import org.cassiabank.declaration.Configuration;
import org.cassiabank.declaration.LabeledServer;
import org.cassiabank.declaration.RequestRouter;
import org.cassiabank.declaration.ServersByService;
import org.cassiabank.declaration.ServiceDeclaration;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.RendezvousHash;

/**
 * What a daemon knows about the fleet at one moment: the configuration, the instance list and what follows from them.
 *
 * <p>Instances are immutable; values that are costly to compute are cached.
 */
final class FleetView {
    /** A shard of this size is a small share of a proxy's work, and services of today's sizes have a single one. */
    static final int SERVERS_PER_SHARD = 32;

    private static final int OWNER_CANDIDATES = 3;

    private final RequestRouter router;
    private final ServersByService serversByService;
    private final InstanceList instances;
    private final String region;
    private final int floorPercent;
    private final List<Instance> regionProxies;
    private final Map<ShardKey, List<Instance>> candidates;
    private final Map<String, Map<Integer, List<LabeledServer>>> shards = new ConcurrentHashMap<>();

    private FleetView(
            RequestRouter router,
            ServersByService serversByService,
            InstanceList instances,
            String region,
            int floorPercent,
            FleetView former) {
        this.router = router;
        this.serversByService = serversByService;
        this.instances = instances;
        this.region = region;
        this.floorPercent = floorPercent;
        // Most changes concern backend servers; the order of the proxies is costly to compute and stays the same then.
        boolean sameProxies = former != null && haveSameProxies(former.instances, instances);
        List<Instance> proxies = sameProxies ? former.regionProxies : liveProxies(instances, region);
        this.regionProxies = proxies;
        this.candidates = sameProxies ? former.candidates : new ConcurrentHashMap<>();
    }

    static FleetView empty(String region) {
        return empty(region, 0);
    }

    /**
     * Returns the view before anything is known.
     *
     * @param region the region of this daemon
     * @param floorPercent the share of a service's servers that ejection leaves where the service declares no floor
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
     * Tells whether new work may be sent to a server as far as this daemon knows. An owner that the store does not
     * reach may grant a slot of a server that has left.
     *
     * @param server the name of the server
     * @return false if the server is leaving or not listed
     */
    boolean isAcceptingRequests(String server) {
        return instances.find(server).filter(Instance::isLive).isPresent();
    }

    /**
     * Returns the proxies that are asked for slots of a shard, the owner first.
     *
     * @param shard the shard
     * @return at most three proxies
     */
    List<Instance> ownerCandidates(ShardKey shard) {
        return candidates.computeIfAbsent(shard, key -> {
            List<Instance> order = RendezvousHash.order("shard/" + key, regionProxies);
            return List.copyOf(order.subList(0, Math.min(OWNER_CANDIDATES, order.size())));
        });
    }

    /**
     * Returns how many shards a service has.
     *
     * @param service the name of the service
     * @return at least 1
     */
    int shardCount(String service) {
        int servers = serversByService.servers(service).size();
        return Math.max(1, (servers + SERVERS_PER_SHARD - 1) / SERVERS_PER_SHARD);
    }

    /**
     * Returns the backend servers of a shard, leaving ones included.
     *
     * @param shard the shard
     * @return the servers
     */
    List<LabeledServer> servers(ShardKey shard) {
        return shards.computeIfAbsent(shard.service(), this::divide).getOrDefault(shard.number(), List.of());
    }

    /**
     * Returns how many servers of a shard have to stay so that all shards together keep the floor of the service.
     *
     * @param shard the shard
     * @return the floor in servers
     */
    int floor(ShardKey shard) {
        int all = serversByService.servers(shard.service()).size();
        int declared =
                service(shard.service()).map(ServiceDeclaration::ejectionFloor).orElse(0);
        int floor = declared > 0 ? declared : (all * floorPercent + 99) / 100;
        int own = servers(shard).size();
        return all == 0 ? floor : Math.min(own, (int) Math.ceil((double) floor * own / all));
    }

    private static boolean haveSameProxies(InstanceList former, InstanceList next) {
        AtomicBoolean same = new AtomicBoolean(true);
        next.forEachDifference(former, (name, before, after) -> {
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

    private Map<Integer, List<LabeledServer>> divide(String service) {
        int count = shardCount(service);
        Map<Integer, List<LabeledServer>> divided = new HashMap<>();
        for (LabeledServer server : serversByService.servers(service)) {
            int number = Math.floorMod(server.instance().name().hashCode() * 0x9E3779B1, count);
            divided.computeIfAbsent(number, key -> new ArrayList<>()).add(server);
        }
        return divided;
    }
}
