package org.cassiabank.membership;

import java.util.List;
import java.util.stream.IntStream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the time of selecting three proxies of a region for one key. */
@State(Scope.Benchmark)
public class RendezvousHashBenchmark {
    @Param({"48", "675"})
    int proxies;

    private List<Instance> instances;

    @Setup
    public void createInstances() {
        instances = IntStream.range(0, proxies)
                .mapToObj(number -> Instance.of(
                        "proxy-" + number,
                        InstanceRole.PROXY,
                        "127.0.0.1:" + (10_000 + number),
                        "region",
                        "domain-" + number % 4,
                        InstanceState.LIVE))
                .toList();
    }

    @Benchmark
    public List<Instance> spread() {
        return RendezvousHash.selectAcrossDomains("orders/0", instances, 3);
    }
}
