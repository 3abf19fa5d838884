package org.cassiabank.declaration;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Shares equal sets of HTTP methods among selectors. Together with shared service names and customer patterns, this
 * reduces a configuration of 360,000 selectors that is read from a snapshot from 144 MB to 76 MB.
 */
final class MethodSets {
    // Limits the memory for declarations that keep introducing new methods, as sets are never removed. Further sets are
    // not shared.
    private static final int MAXIMUM_SHARED_SETS = 1_024;
    private static final Map<Set<String>, Set<String>> SHARED_SETS = new ConcurrentHashMap<>();

    private MethodSets() {}

    /** Returns an immutable set that equals the given one, the same object for equal sets while there is room. */
    static Set<String> share(Set<String> methods) {
        Set<String> shared = SHARED_SETS.get(methods);
        if (shared != null) {
            return shared;
        }
        Set<String> copy = Set.copyOf(methods);
        if (SHARED_SETS.size() < MAXIMUM_SHARED_SETS) {
            SHARED_SETS.put(copy, copy);
        }
        return copy;
    }
}
