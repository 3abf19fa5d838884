package org.cassiabank.health;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Decides which servers to eject and which to readmit so that the floor holds.
 *
 * <p>A server is kept when it is healthy, not leaving and warm; a server on probation is not kept, because it carries
 * one request at a time. While fewer servers are kept than the floor asks for, cold servers are not ejected either,
 * because they are the next ones to become warm.
 */
final class EjectionPolicy {
    // Severities are estimates from about 16 samples; without a margin two bad servers would replace each other.
    private static final double REPLACEMENT_MARGIN = 0.2;

    private final List<Candidate> candidates;
    private final int floor;
    private final List<Candidate> ejected = new ArrayList<>();
    private final List<Candidate> readmitted = new ArrayList<>();

    private EjectionPolicy(List<Candidate> candidates, int floor) {
        this.candidates = candidates;
        this.floor = floor;
    }

    /**
     * Decides about the servers of a shard.
     *
     * @param candidates the servers
     * @param floor how many servers have to be kept
     * @return the decision
     */
    static Decision decide(List<Candidate> candidates, int floor) {
        EjectionPolicy policy = new EjectionPolicy(candidates, floor);
        policy.readmit();
        policy.eject();
        return new Decision(names(policy.ejected), names(policy.readmitted));
    }

    private void readmit() {
        readmitUntilFloor(this::isKept, Candidate::warm);
        readmitUntilFloor(this::isUsable, candidate -> true);
    }

    private void readmitUntilFloor(Predicate<Candidate> counted, Predicate<Candidate> filter) {
        Optional<Candidate> least = leastSevereOut(filter);
        while (least.isPresent() && count(counted) < floor) {
            readmitted.add(least.get());
            least = leastSevereOut(filter);
        }
    }

    private void eject() {
        List<Candidate> outliers = candidates.stream()
                .filter(candidate -> candidate.outlier() && isUsable(candidate) && !readmitted.contains(candidate))
                .sorted(Comparator.comparingDouble(Candidate::severity)
                        .reversed()
                        .thenComparing(Candidate::name))
                .toList();
        long present = count(candidate -> !candidate.leaving());
        long unhealthy = count(candidate -> !candidate.leaving() && !isUsable(candidate)) + outliers.size();
        if (2 * unhealthy > present) {
            return;
        }
        for (Candidate outlier : outliers) {
            if (leavesFloor(outlier)) {
                ejected.add(outlier);
            } else {
                replaceLessSevere(outlier);
            }
        }
    }

    private boolean leavesFloor(Candidate candidate) {
        return count(this::isKept) - (candidate.warm() ? 1 : 0) >= floor;
    }

    private void replaceLessSevere(Candidate outlier) {
        Optional<Candidate> least =
                leastSevereOut(candidate -> candidate.warm() == outlier.warm() && !ejected.contains(candidate));
        if (least.isPresent() && outlier.severity() > least.get().severity() + REPLACEMENT_MARGIN) {
            readmitted.add(least.get());
            ejected.add(outlier);
        }
    }

    private Optional<Candidate> leastSevereOut(Predicate<Candidate> filter) {
        return candidates.stream()
                .filter(candidate -> !candidate.leaving() && !isUsable(candidate) && filter.test(candidate))
                .min(Comparator.comparingDouble(Candidate::severity).thenComparing(Candidate::name));
    }

    private boolean isUsable(Candidate candidate) {
        boolean wasHealthy = candidate.health() == ServerHealth.HEALTHY;
        return !candidate.leaving() && !ejected.contains(candidate) && (wasHealthy || readmitted.contains(candidate));
    }

    private boolean isKept(Candidate candidate) {
        return candidate.warm() && isUsable(candidate);
    }

    private long count(Predicate<Candidate> filter) {
        return candidates.stream().filter(filter).count();
    }

    private static List<String> names(List<Candidate> chosen) {
        return chosen.stream().map(Candidate::name).toList();
    }

    /**
     * A server as the decision sees it.
     *
     * @param name the name of the server
     * @param health the verdict in force
     * @param leaving whether the server is leaving
     * @param warm whether the server has finished its cold-start ramp
     * @param outlier whether its work differs from the work of the others
     * @param severity the recent share of bad work, from 0 to 1
     */
    record Candidate(
            String name, ServerHealth health, boolean leaving, boolean warm, boolean outlier, double severity) {}

    /**
     * The changes to make.
     *
     * @param eject the servers to eject
     * @param readmit the servers to readmit
     */
    record Decision(List<String> eject, List<String> readmit) {}
}
