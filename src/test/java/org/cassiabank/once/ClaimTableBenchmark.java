package org.cassiabank.once;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures a keeper with 100,000 records, of which one expires with each new claim. */
@State(Scope.Benchmark)
public class ClaimTableBenchmark {
    private static final int RECORDS = 100_000;
    private static final ClaimSettings SETTINGS =
            new ClaimSettings(2 * RECORDS, 1L << 30, 64 << 10, RECORDS, 1_000, 60_000);

    @Param({"48", "675"})
    int proxies;

    private final RecordedResponse response = new RecordedResponse(200, Map.of(), new byte[512]);
    private ClaimTable table;
    private long now;
    private List<Instance> before;
    private List<Instance> after;
    private List<ClaimRecord> thousand;

    @Setup
    public void fill() {
        table = ClaimTable.create(SETTINGS);
        table.setReady(true);
        while (now < RECORDS) {
            claimAndConclude();
        }
        thousand = table.records(now).subList(0, 1_000);
        after = IntStream.range(0, proxies)
                .mapToObj(number -> Instance.of(
                        "proxy-" + number,
                        InstanceRole.PROXY,
                        "127.0.0.1:" + (10_000 + number),
                        "region",
                        "domain-" + number % 4,
                        InstanceState.LIVE))
                .toList();
        before = after.subList(1, proxies);
    }

    @Benchmark
    public KeeperVote claimAndConclude() {
        now++;
        String key = "orders/" + now;
        KeeperVote vote = table.claim(key, key, now, now);
        table.conclude(key, key, new ClaimConclusion.Answered(response), now);
        return vote;
    }

    @Benchmark
    public Map<String, List<ClaimRecord>> planThousandRecords() {
        return ClaimHandover.plan("proxy-1", thousand, before, after);
    }

    @Benchmark
    public List<ClaimRecord> listRecords() {
        return table.records(now);
    }
}
