package org.cassiabank.collection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Guards against lost entries and against differences that an incremental index would miss. */
class PersistentMapTest {

    /** A key of which many collide, in all bits or only in the lowest ones. */
    private record Key(int number) {
        @Override
        public boolean equals(Object other) {
            return other instanceof Key that && number == that.number;
        }

        @Override
        public int hashCode() {
            return number % 3 == 0 ? number % 7 : (number % 5) << 10;
        }
    }

    @Property
    void behavesLikeAHashMapAndFindsAllDifferences(
            @ForAll @Size(max = 200) List<@IntRange(min = -60, max = 60) Integer> steps,
            @ForAll @IntRange(max = 200) int marked) {
        PersistentMap<Key, Integer> map = PersistentMap.empty();
        Map<Key, Integer> reference = new HashMap<>();
        PersistentMap<Key, Integer> earlier = map;
        Map<Key, Integer> changing = new HashMap<>();
        for (int step = 0; step < steps.size(); step++) {
            Key key = new Key(Math.abs(steps.get(step)));
            if (steps.get(step) < 0) {
                map = map.without(key);
                reference.remove(key);
            } else {
                map = map.with(key, step);
                reference.put(key, step);
            }
            if (step == marked) {
                earlier = map;
                changing.putAll(reference);
            }
        }
        assertThat(map).isEqualTo(reference).hasSize(reference.size());
        assertThat(new HashMap<>(earlier)).isEqualTo(changing);
        earlier.forEachDifference(map, (key, before, after) -> {
            assertThat(changing.get(key)).isEqualTo(before).isNotEqualTo(after);
            if (after == null) {
                changing.remove(key);
            } else {
                changing.put(key, after);
            }
        });
        assertThat(changing).isEqualTo(reference);
    }
}
