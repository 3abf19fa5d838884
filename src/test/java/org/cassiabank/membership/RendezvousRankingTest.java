package org.cassiabank.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Guards against proxies that disagree on the keepers of a key because they computed them in different ways. */
class RendezvousRankingTest {

    @Property
    void aPreparedListGivesTheSameInstancesAsThePlainOne(
            @ForAll String key,
            @ForAll @IntRange(max = 40) int size,
            @ForAll @IntRange(min = 1, max = 6) int domains,
            @ForAll @IntRange(max = 4) int count) {
        List<Instance> instances = IntStream.range(0, size)
                .mapToObj(number -> Instance.of(
                        "proxy-" + number,
                        InstanceRole.PROXY,
                        "127.0.0.1:1",
                        "region-" + number % 2,
                        "domain-" + number % domains,
                        InstanceState.LIVE))
                .toList();
        assertThat(RendezvousRanking.of(instances).selectAcrossDomains(key, count))
                .isEqualTo(RendezvousHash.selectAcrossDomains(key, instances, count));
    }
}
