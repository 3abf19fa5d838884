package org.cassiabank.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Guards against lists that differ between daemons for good, and against a return to an older list. */
class InstanceListHistoryTest {

    @Property
    void daemonsThatSeeDifferentStepsEndWithTheSameList(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 5) int daemons) {
        Random random = new Random(seed);
        List<InstanceListHistory> histories = new ArrayList<>();
        for (int number = 0; number < daemons; number++) {
            histories.add(InstanceListHistory.create());
        }
        InstanceList platform = InstanceList.empty();
        for (int step = 1; step <= 30; step++) {
            platform = InstanceList.of(step, randomInstances(random));
            histories.get(random.nextInt(daemons)).install(platform);
            exchange(histories.get(random.nextInt(daemons)), histories.get(random.nextInt(daemons)));
        }
        histories.get(0).install(platform);
        for (InstanceListHistory history : histories) {
            exchange(histories.get(0), history);
            assertThat(history.current()).isEqualTo(platform);
        }
    }

    @Property
    void theIndexNeverGoesBack(@ForAll List<@IntRange(min = 1, max = 50) Integer> indexes) {
        InstanceListHistory history = InstanceListHistory.create();
        long largest = 0;
        for (int index : indexes) {
            history.install(InstanceList.of(index, randomInstances(new Random(index))));
            largest = Math.max(largest, index);
            assertThat(history.current().index()).isEqualTo(largest);
        }
    }

    /** Sends what the target lacks, and the whole list if the difference does not fit, as the daemons do. */
    private static void exchange(InstanceListHistory source, InstanceListHistory target) {
        long before = target.current().index();
        boolean fits = source.deltaSince(before).map(target::apply).orElse(false);
        if (!fits) {
            target.install(source.current());
        }
        assertThat(target.current().index())
                .isGreaterThanOrEqualTo(Math.max(before, source.current().index()));
    }

    private static List<Instance> randomInstances(Random random) {
        List<Instance> instances = new ArrayList<>();
        for (int number = 0; number < 6; number++) {
            if (random.nextInt(3) > 0) {
                instances.add(Instance.of(
                        "instance-" + number,
                        InstanceRole.BACKEND,
                        "127.0.0.1:" + (1_000 + number),
                        "region",
                        "domain",
                        random.nextBoolean() ? InstanceState.LIVE : InstanceState.LEAVING));
            }
        }
        return instances;
    }
}
