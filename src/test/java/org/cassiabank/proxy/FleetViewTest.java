package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cassiabank.declaration.Configuration;
import org.cassiabank.declaration.LabelRule;
import org.cassiabank.declaration.LabeledServer;
import org.cassiabank.declaration.ServiceDeclaration;
import org.cassiabank.declaration.VersionedDeclaration;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;

/**
 * Guards against shards that lose a server, that together keep less than the floor because each rounds its part, or
 * that change their owner when another proxy leaves; and against requests to a server that has left.
 */
class FleetViewTest {

    @Property(tries = 200)
    void shardsTogetherContainEveryServerOnceAndKeepAtLeastTheFloor(
            @ForAll @IntRange(min = 1, max = 300) int serverCount,
            @ForAll @IntRange(min = 0, max = 300) int requestedFloor) {
        int floor = Math.min(serverCount, requestedFloor);
        FleetView view = view(serverCount, 5, floor);
        Set<String> names = new HashSet<>();
        int floorSum = 0;
        for (ShardDivision.Shard part : view.division("menu").shards()) {
            ShardKey shard = new ShardKey("menu", part.number());
            for (LabeledServer server : view.servers(shard)) {
                assertThat(names.add(server.instance().name())).isTrue();
            }
            assertThat(view.ejectionFloor(shard))
                    .isLessThanOrEqualTo(view.servers(shard).size());
            floorSum += view.ejectionFloor(shard);
        }
        assertThat(names).hasSize(serverCount);
        assertThat(floorSum).isGreaterThanOrEqualTo(floor);
    }

    @Property(tries = 50)
    void lossOfAProxyMovesOnlyTheShardsItOwned(@ForAll @IntRange(min = 4, max = 48) int proxyCount) {
        FleetView before = view(300, proxyCount, 0);
        List<Instance> remainingInstances = new ArrayList<>(before.instances().instances());
        Instance lostProxy = before.ownerCandidates(firstShard(before)).getFirst();
        remainingInstances.remove(lostProxy);
        FleetView after = before.withInstances(InstanceList.of(2, remainingInstances));
        for (ShardDivision.Shard part : before.division("menu").shards()) {
            ShardKey shard = new ShardKey("menu", part.number());
            List<Instance> candidates = before.ownerCandidates(shard);
            Instance expected = candidates.getFirst().equals(lostProxy) ? candidates.get(1) : candidates.getFirst();
            assertThat(after.ownerCandidates(shard).getFirst()).isEqualTo(expected);
        }
    }

    @Property(tries = 20)
    void shardOwnersAreSpreadOverAllProxies(@ForAll @IntRange(min = 4, max = 48) int proxyCount) {
        FleetView view = view(1, proxyCount, 0);
        Map<String, Integer> shardCountByOwner = new HashMap<>();
        int shardCount = 100 * proxyCount;
        for (int number = 0; number < shardCount; number++) {
            Instance owner =
                    view.ownerCandidates(new ShardKey("service-" + number, 0)).getFirst();
            shardCountByOwner.merge(owner.name(), 1, Integer::sum);
        }
        // With an average of 100 shards per proxy, 200 is ten standard deviations above the mean.
        assertThat(shardCountByOwner.values()).allMatch(count -> count <= 200);
        assertThat(shardCountByOwner).hasSize(proxyCount);
    }

    private static ShardKey firstShard(FleetView view) {
        return new ShardKey("menu", view.division("menu").shards().getFirst().number());
    }

    /** Guards against requests for slots that cross failure domains although a proxy of the domain is live. */
    @Property(tries = 50)
    void ownersOfAShardComeFromItsFailureDomainWhileAProxyIsLiveThere(
            @ForAll @IntRange(min = 1, max = 24) int proxyCount) {
        FleetView view = view(120, proxyCount, 0);
        assertThat(view.division("menu").isByFailureDomain()).isTrue();
        for (ShardDivision.Shard part : view.division("menu").shards()) {
            String domain = part.failureDomain().orElseThrow().name();
            List<Instance> candidates = view.ownerCandidates(new ShardKey("menu", part.number()));
            long near = view.regionProxies().stream()
                    .filter(proxy -> proxy.failureDomain().equals(domain))
                    .count();
            assertThat(candidates).hasSize(Math.min(3, proxyCount));
            for (int index = 0; index < candidates.size(); index++) {
                assertThat(candidates.get(index).failureDomain().equals(domain)).isEqualTo(index < near);
            }
        }
    }

    private static FleetView view(int serverCount, int proxyCount, int floor) {
        List<Instance> instances = new ArrayList<>();
        for (int number = 0; number < serverCount; number++) {
            instances.add(instance("menu-" + number, InstanceRole.BACKEND, number));
        }
        for (int number = 0; number < proxyCount; number++) {
            instances.add(instance("proxy-" + number, InstanceRole.PROXY, number));
        }
        Configuration configuration = Configuration.of(
                1,
                List.of(
                        new VersionedDeclaration(new LabelRule("menu", "menu-*", Map.of("service", "menu")), 1),
                        new VersionedDeclaration(new ServiceDeclaration("menu", 2, floor, 1_000), 1)));
        return FleetView.empty("region").withConfiguration(configuration).withInstances(InstanceList.of(1, instances));
    }

    private static Instance instance(String name, InstanceRole role, int number) {
        return Instance.of(
                name, role, "127.0.0.1:" + (1_000 + number), "region", "domain-" + number % 4, InstanceState.LIVE);
    }

    @Example
    void serverThatIsLeavingOrNotListedDoesNotAcceptRequests() {
        FleetView view = FleetView.empty("region")
                .withInstances(InstanceList.of(
                        1,
                        List.of(
                                Instance.of(
                                        "live", InstanceRole.BACKEND, "127.0.0.1:1", "region", "d", InstanceState.LIVE),
                                Instance.of(
                                        "leaving",
                                        InstanceRole.BACKEND,
                                        "127.0.0.1:2",
                                        "region",
                                        "d",
                                        InstanceState.LEAVING))));
        assertThat(view.isAcceptingRequests("live")).isTrue();
        assertThat(view.isAcceptingRequests("leaving")).isFalse();
        assertThat(view.isAcceptingRequests("gone")).isFalse();
    }
}
