package org.cassiabank.collection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Guards against entries that are lost when hash codes collide, and against differences between two versions that are
 * not reported, which would leave indexes that are updated from them outdated.
 */
class PersistentMapTest {

    /** A key whose hash code equals that of many others, in all bits or only in the lowest ones. */
    private record CollidingKey(int number) {
        @Override
        public boolean equals(Object other) {
            return other instanceof CollidingKey that && number == that.number;
        }

        @Override
        public int hashCode() {
            return number % 3 == 0 ? number % 7 : (number % 5) << 10;
        }
    }

    @Property
    void mapHoldsTheEntriesOfAHashMapAndReportsAllDifferences(
            @ForAll @Size(max = 200) List<@IntRange(min = -60, max = 60) Integer> steps,
            @ForAll @IntRange(max = 200) int earlierStep) {
        PersistentMap<CollidingKey, Integer> map = PersistentMap.empty();
        Map<CollidingKey, Integer> expected = new HashMap<>();
        PersistentMap<CollidingKey, Integer> earlier = map;
        Map<CollidingKey, Integer> expectedEarlier = new HashMap<>();
        for (int step = 0; step < steps.size(); step++) {
            CollidingKey key = new CollidingKey(Math.abs(steps.get(step)));
            if (steps.get(step) < 0) {
                map = map.without(key);
                expected.remove(key);
            } else {
                map = map.with(key, step);
                expected.put(key, step);
            }
            if (step == earlierStep) {
                earlier = map;
                expectedEarlier.putAll(expected);
            }
        }
        assertThat(map).isEqualTo(expected).hasSize(expected.size());
        assertThat(new HashMap<>(earlier)).isEqualTo(expectedEarlier);
        earlier.forEachDifference(map, (key, before, after) -> {
            assertThat(expectedEarlier.get(key)).isEqualTo(before).isNotEqualTo(after);
            if (after == null) {
                expectedEarlier.remove(key);
            } else {
                expectedEarlier.put(key, after);
            }
        });
        assertThat(expectedEarlier).isEqualTo(expected);
    }
}
