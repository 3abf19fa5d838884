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

/** Measures the operations of a keeper with 100,000 records, of which one expires with each new claim. */
@State(Scope.Benchmark)
public class ClaimTableBenchmark {
    private static final int RECORD_COUNT = 100_000;
    private static final ClaimSettings SETTINGS =
            new ClaimSettings(2 * RECORD_COUNT, 1L << 30, 64 << 10, RECORD_COUNT, 1_000, 60_000);

    @Param({"48", "675"})
    int proxies;

    private final RecordedResponse response = new RecordedResponse(200, Map.of(), new byte[512]);
    private ClaimTable table;
    private long nowMillis;
    private List<Instance> proxiesBefore;
    private List<Instance> proxiesAfter;
    private List<ClaimRecord> thousandRecords;

    @Setup
    public void fillTable() {
        table = ClaimTable.create(SETTINGS);
        table.setReady(true);
        while (nowMillis < RECORD_COUNT) {
            claimAndConclude();
        }
        thousandRecords = table.records(nowMillis).subList(0, 1_000);
        proxiesAfter = IntStream.range(0, proxies)
                .mapToObj(number -> Instance.of(
                        "proxy-" + number,
                        InstanceRole.PROXY,
                        "127.0.0.1:" + (10_000 + number),
                        "region",
                        "domain-" + number % 4,
                        InstanceState.LIVE))
                .toList();
        proxiesBefore = proxiesAfter.subList(1, proxies);
    }

    @Benchmark
    public KeeperVote claimAndConclude() {
        nowMillis++;
        String key = "orders/" + nowMillis;
        KeeperVote vote = table.claim(key, key, nowMillis, nowMillis);
        table.conclude(key, key, new ClaimConclusion.Answered(response), nowMillis);
        return vote;
    }

    @Benchmark
    public Map<String, List<ClaimRecord>> planThousandRecords() {
        return ClaimHandover.planHandover("proxy-1", thousandRecords, proxiesBefore, proxiesAfter);
    }

    @Benchmark
    public List<ClaimRecord> listRecords() {
        return table.records(nowMillis);
    }
}
