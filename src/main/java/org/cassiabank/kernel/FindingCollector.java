package org.cassiabank.kernel;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Collects findings while input is checked, so that all of them are reported together.
 *
 * <p>Instances are not thread-safe.
 */
public final class FindingCollector {
    private final List<Finding> collected = new ArrayList<>();

    private FindingCollector() {}

    /**
     * Creates an empty collection.
     *
     * @return the collection
     */
    public static FindingCollector create() {
        return new FindingCollector();
    }

    /**
     * Adds a finding.
     *
     * @param finding the finding, not null
     */
    public void add(Finding finding) {
        collected.add(Objects.requireNonNull(finding, "finding"));
    }

    /**
     * Returns the findings collected so far.
     *
     * @return an immutable copy in the order of addition
     */
    public List<Finding> toList() {
        return List.copyOf(collected);
    }

    /**
     * Tells whether nothing was found.
     *
     * @return true if there are no findings
     */
    public boolean isEmpty() {
        return collected.isEmpty();
    }

    /**
     * Throws all findings together if there are any.
     *
     * @throws CassiabankException with {@link ErrorCode#INVALID_INPUT} if there is a finding
     */
    public void throwIfAny() {
        if (!collected.isEmpty()) {
            throw CassiabankException.ofFindings(collected);
        }
    }
}
