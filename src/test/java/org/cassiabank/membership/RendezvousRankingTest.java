package org.cassiabank.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against proxies that disagree on the keepers of a key because one uses the ranking and another the plain hash.
 */
class RendezvousRankingTest {

    @Property
    void aRankingSelectsTheSameInstancesAsThePlainHash(
            @ForAll String key,
            @ForAll @IntRange(max = 40) int instanceCount,
            @ForAll @IntRange(min = 1, max = 6) int domainCount,
            @ForAll @IntRange(max = 4) int count) {
        List<Instance> instances = IntStream.range(0, instanceCount)
                .mapToObj(number -> Instance.of(
                        "proxy-" + number,
                        InstanceRole.PROXY,
                        "127.0.0.1:1",
                        "region-" + number % 2,
                        "domain-" + number % domainCount,
                        InstanceState.LIVE))
                .toList();
        assertThat(RendezvousRanking.of(instances).selectAcrossDomains(key, count))
                .isEqualTo(RendezvousHash.selectAcrossDomains(key, instances, count));
    }
}
