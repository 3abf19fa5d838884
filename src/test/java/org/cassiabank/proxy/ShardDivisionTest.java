package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cassiabank.declaration.LabeledServer;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;

/**
 * Guards against daemons that divide the same servers differently, against shards that are too large, and against
 * servers that change their shard, where their state is unknown, because another server came or went.
 */
class ShardDivisionTest {

    @Property(tries = 300)
    void divisionKeepsEachServerOnceAndDoesNotDependOnTheOrderOfTheList(
            @ForAll @IntRange(min = 0, max = 200) int north,
            @ForAll @IntRange(min = 0, max = 80) int south,
            @ForAll @IntRange(min = 0, max = 20) int west,
            @ForAll long seed) {
        List<LabeledServer> servers = servers(Map.of("north", north, "south", south, "west", west));
        Map<String, Integer> numbers = numbersByServer(ShardDivision.of(servers));
        assertThat(numbers).hasSize(servers.size());
        Collections.shuffle(servers, new Random(seed));
        ShardDivision division = ShardDivision.of(servers);
        assertThat(numbersByServer(division)).isEqualTo(numbers);
        assertThat(servers.size()).isLessThanOrEqualTo(32 * division.shards().size());
        int mixed = 0;
        for (int number = 0; number < division.mixedShardCount(); number++) {
            mixed += division.servers(number).size();
        }
        assertThat(mixed).as("the division of the previous release").isEqualTo(servers.size());
    }

    @Property(tries = 200)
    void aServerThatComesMovesOnlyServersOfItsOwnDomainAndOnlyToItsNewShard(
            @ForAll @IntRange(min = 8, max = 150) int north, @ForAll @IntRange(min = 32, max = 80) int south) {
        ShardDivision before = ShardDivision.of(servers(Map.of("north", north, "south", south)));
        ShardDivision after = ShardDivision.of(servers(Map.of("north", north + 1, "south", south)));
        Map<String, Integer> numbersAfter = numbersByServer(after);
        List<Integer> formerNumbers =
                before.shards().stream().map(ShardDivision.Shard::number).toList();
        numbersByServer(before).forEach((server, number) -> {
            int numberAfter = numbersAfter.get(server);
            assertThat(numberAfter == number || server.startsWith("north") && !formerNumbers.contains(numberAfter))
                    .isTrue();
        });
    }

    @Example
    void aDomainThatBecomesSmallMovesOnlyItsOwnServers() {
        Map<String, Integer> before =
                numbersByServer(ShardDivision.of(servers(Map.of("north", 8, "south", 30, "west", 25))));
        Map<String, Integer> after =
                numbersByServer(ShardDivision.of(servers(Map.of("north", 7, "south", 30, "west", 25))));
        assertThat(after.keySet().stream().filter(server -> !server.startsWith("north")))
                .allMatch(server -> before.get(server).equals(after.get(server)));
    }

    @Example
    void servicesOfOneShardOrOfSmallDomainsAreDividedAsBefore() {
        assertThat(ShardDivision.of(List.of()).shards()).hasSize(1);
        assertThat(ShardDivision.of(servers(Map.of("north", 80))).isByFailureDomain())
                .isFalse();
        assertThat(ShardDivision.of(servers(Map.of("north", 16, "south", 16))).isByFailureDomain())
                .isFalse();
        assertThat(ShardDivision.of(servers(Map.of("a", 7, "b", 7, "c", 7, "d", 7, "e", 7)))
                        .shards())
                .extracting(ShardDivision.Shard::number)
                .containsExactly(0, 1);
    }

    private static Map<String, Integer> numbersByServer(ShardDivision division) {
        Map<String, Integer> numbers = new HashMap<>();
        division.shards().forEach(shard -> shard.servers()
                .forEach(server -> assertThat(numbers.put(server.instance().name(), shard.number()))
                        .isNull()));
        return numbers;
    }

    private static List<LabeledServer> servers(Map<String, Integer> countsByDomain) {
        List<LabeledServer> servers = new ArrayList<>();
        countsByDomain.forEach((domain, count) -> {
            for (int number = 0; number < count; number++) {
                Instance instance = Instance.of(
                        domain + "-" + number, InstanceRole.BACKEND, "127.0.0.1:1", "here", domain, InstanceState.LIVE);
                servers.add(new LabeledServer(instance, Map.of(), false));
            }
        });
        return servers;
    }
}
