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
    private final List<Finding> findings = new ArrayList<>();

    private FindingCollector() {}

    /**
     * Creates a collector without findings.
     *
     * @return the collector
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
        findings.add(Objects.requireNonNull(finding, "finding"));
    }

    /**
     * Returns the findings collected so far.
     *
     * @return an immutable copy in the order of addition
     */
    public List<Finding> toList() {
        return List.copyOf(findings);
    }

    /**
     * Tells whether no finding has been added.
     *
     * @return true if there are no findings
     */
    public boolean isEmpty() {
        return findings.isEmpty();
    }

    /**
     * Throws all findings together if there are any.
     *
     * @throws CassiabankException with {@link ErrorCode#INVALID_INPUT} if there is a finding
     */
    public void throwIfAny() {
        if (!findings.isEmpty()) {
            throw CassiabankException.ofFindings(findings);
        }
    }
}
