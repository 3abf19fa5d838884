package org.cassiabank.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against instance lists that never converge between daemons, which see different changes of the platform's
 * list, and against a return to an older list.
 */
class InstanceListHistoryTest {

    @Property
    void daemonsThatSeeDifferentStepsEndWithTheSameList(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 5) int daemonCount) {
        Random random = new Random(seed);
        List<InstanceListHistory> histories = new ArrayList<>();
        for (int number = 0; number < daemonCount; number++) {
            histories.add(InstanceListHistory.create());
        }
        InstanceList platformList = InstanceList.empty();
        for (int step = 1; step <= 30; step++) {
            platformList = InstanceList.of(step, randomInstances(random));
            histories.get(random.nextInt(daemonCount)).install(platformList);
            exchange(histories.get(random.nextInt(daemonCount)), histories.get(random.nextInt(daemonCount)));
        }
        histories.get(0).install(platformList);
        for (InstanceListHistory history : histories) {
            exchange(histories.get(0), history);
            assertThat(history.current()).isEqualTo(platformList);
        }
    }

    @Property
    void theIndexNeverGoesBack(@ForAll List<@IntRange(min = 1, max = 50) Integer> indexes) {
        InstanceListHistory history = InstanceListHistory.create();
        long largestIndex = 0;
        for (int index : indexes) {
            history.install(InstanceList.of(index, randomInstances(new Random(index))));
            largestIndex = Math.max(largestIndex, index);
            assertThat(history.current().index()).isEqualTo(largestIndex);
        }
    }

    /** Sends the difference, or the complete list if the difference cannot be applied, as the daemons do. */
    private static void exchange(InstanceListHistory source, InstanceListHistory target) {
        long previousIndex = target.current().index();
        boolean isApplied = source.deltaSince(previousIndex).map(target::apply).orElse(false);
        if (!isApplied) {
            target.install(source.current());
        }
        assertThat(target.current().index())
                .isGreaterThanOrEqualTo(Math.max(previousIndex, source.current().index()));
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
