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

/** Guards against shards that together keep less than the floor, lose a server, or move owners without need. */
class FleetViewTest {

    @Property(tries = 200)
    void theShardsTogetherHoldEveryServerOnceAndAtLeastTheFloor(
            @ForAll @IntRange(min = 1, max = 300) int servers, @ForAll @IntRange(min = 0, max = 300) int wantedFloor) {
        int floor = Math.min(servers, wantedFloor);
        FleetView view = view(servers, 5, floor);
        Set<String> names = new HashSet<>();
        int kept = 0;
        for (int number = 0; number < view.shardCount("menu"); number++) {
            ShardKey shard = new ShardKey("menu", number);
            for (LabeledServer server : view.servers(shard)) {
                assertThat(names.add(server.instance().name())).isTrue();
            }
            assertThat(view.floor(shard))
                    .isLessThanOrEqualTo(view.servers(shard).size());
            kept += view.floor(shard);
        }
        assertThat(names).hasSize(servers);
        assertThat(kept).isGreaterThanOrEqualTo(floor);
    }

    @Property(tries = 50)
    void theLossOfAProxyMovesOnlyItsOwnShards(@ForAll @IntRange(min = 4, max = 48) int proxies) {
        FleetView before = view(300, proxies, 0);
        List<Instance> rest = new ArrayList<>(before.instances().instances());
        Instance lost = before.ownerCandidates(new ShardKey("menu", 0)).getFirst();
        rest.remove(lost);
        FleetView after = before.withInstances(InstanceList.of(2, rest));
        for (int number = 0; number < before.shardCount("menu"); number++) {
            ShardKey shard = new ShardKey("menu", number);
            List<Instance> candidates = before.ownerCandidates(shard);
            Instance expected = candidates.getFirst().equals(lost) ? candidates.get(1) : candidates.getFirst();
            assertThat(after.ownerCandidates(shard).getFirst()).isEqualTo(expected);
        }
    }

    @Property(tries = 20)
    void ownersAreSpreadOverTheProxies(@ForAll @IntRange(min = 4, max = 48) int proxies) {
        FleetView view = view(1, proxies, 0);
        Map<String, Integer> owned = new HashMap<>();
        int shards = 100 * proxies;
        for (int number = 0; number < shards; number++) {
            Instance owner =
                    view.ownerCandidates(new ShardKey("service-" + number, 0)).getFirst();
            owned.merge(owner.name(), 1, Integer::sum);
        }
        // With 100 shards a proxy on average, twice as many is ten standard deviations away.
        assertThat(owned.values()).allMatch(count -> count <= 200);
        assertThat(owned).hasSize(proxies);
    }

    private static FleetView view(int servers, int proxies, int floor) {
        List<Instance> instances = new ArrayList<>();
        for (int number = 0; number < servers; number++) {
            instances.add(instance("menu-" + number, InstanceRole.BACKEND, number));
        }
        for (int number = 0; number < proxies; number++) {
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
    void aServerThatIsLeavingOrNotListedTakesNoWorkWhateverAnOwnerGrants() {
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
