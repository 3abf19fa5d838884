package org.cassiabank.proxy;

import java.util.Comparator;
import org.cassiabank.membership.Instance;

/**
 * A failure domain of a region; domains of different regions may have the same name.
 *
 * @param region the region
 * @param name the name of the domain in its region
 */
record FailureDomain(String region, String name) implements Comparable<FailureDomain> {
    /** Stands for servers that belong to no large domain. */
    static final FailureDomain NONE = new FailureDomain("", "");

    private static final Comparator<FailureDomain> ORDER =
            Comparator.comparing(FailureDomain::region).thenComparing(FailureDomain::name);

    static FailureDomain of(Instance instance) {
        return new FailureDomain(instance.region(), instance.failureDomain());
    }

    @Override
    public int compareTo(FailureDomain other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return region + "/" + name;
    }
}
