package org.cassiabank.revision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;

/**
 * Guards against failure domains in which no daemon watches the store, and against changes that never reach another
 * failure domain because all push targets are in the sender's.
 */
class ExchangePlannerTest {

    @Property(tries = 200)
    void eachDomainHasTwoWatchersAndEachPushReachesAnotherDomain(
            @ForAll @IntRange(min = 1, max = 40) int proxies,
            @ForAll @IntRange(min = 1, max = 5) int domains,
            @ForAll long seed) {
        List<Instance> list = IntStream.range(0, proxies)
                .mapToObj(number -> Instance.of(
                        "p" + number,
                        InstanceRole.PROXY,
                        "127.0.0.1:" + (1 + number),
                        "r",
                        "d" + number % domains,
                        number % 7 == 6 ? InstanceState.LEAVING : InstanceState.LIVE))
                .toList();
        Random random = new Random(seed);
        List<Instance> live = list.stream().filter(Instance::isLive).toList();
        for (int domain = 0; domain < domains; domain++) {
            String domainName = "d" + domain;
            List<Instance> inDomain = live.stream()
                    .filter(proxy -> proxy.failureDomain().equals(domainName))
                    .toList();
            assertThat(inDomain.stream().filter(proxy -> ExchangePlanner.of(proxy, InstanceList.of(1, list))
                            .isWatcher()))
                    .hasSize(Math.min(2, inDomain.size()));
        }
        for (Instance self : live) {
            List<Instance> targets =
                    ExchangePlanner.of(self, InstanceList.of(1, list)).pushTargets(random);
            assertThat(targets)
                    .doesNotHaveDuplicates()
                    .doesNotContain(self)
                    .allMatch(Instance::isLive)
                    .hasSize(Math.min(3, live.size() - 1));
            boolean hasPeersInOtherDomains =
                    live.stream().anyMatch(peer -> !peer.failureDomain().equals(self.failureDomain()));
            assertThat(targets.stream().anyMatch(peer -> !peer.failureDomain().equals(self.failureDomain())))
                    .isEqualTo(hasPeersInOtherDomains);
        }
    }
}
