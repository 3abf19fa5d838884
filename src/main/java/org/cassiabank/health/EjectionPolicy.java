package org.cassiabank.health;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Decides which servers to eject and which to readmit without falling below the floor, the minimum number of servers in
 * use.
 *
 * <p>A server counts toward the floor when it is healthy, not leaving and warm. A server on probation does not count,
 * because it gets only one request at a time. While fewer servers than the floor count, cold servers are not ejected
 * either, because they are the next ones to become warm.
 */
final class EjectionPolicy {
    // Severities are estimates from about 16 samples; without a margin two faulty servers would replace each other in
    // turn.
    private static final double REPLACEMENT_SEVERITY_MARGIN = 0.2;

    private final List<Candidate> candidates;
    private final int floor;
    private final List<Candidate> ejected = new ArrayList<>();
    private final List<Candidate> readmitted = new ArrayList<>();

    private EjectionPolicy(List<Candidate> candidates, int floor) {
        this.candidates = candidates;
        this.floor = floor;
    }

    /**
     * Decides which servers of a shard to eject and to readmit. Ejects none while more than half of the servers that
     * are not leaving are unusable or outliers.
     *
     * @param candidates the servers of the shard, with unique names
     * @param floor the minimum number of warm, healthy servers that are not leaving, not negative
     * @return the servers to eject and the servers to readmit
     */
    static Decision decide(List<Candidate> candidates, int floor) {
        EjectionPolicy policy = new EjectionPolicy(candidates, floor);
        policy.readmit();
        policy.eject();
        return new Decision(namesOf(policy.ejected), namesOf(policy.readmitted));
    }

    private void readmit() {
        readmitUntilFloor(this::countsTowardFloor, Candidate::warm);
        readmitUntilFloor(this::isUsable, candidate -> true);
    }

    private void readmitUntilFloor(Predicate<Candidate> isCounted, Predicate<Candidate> filter) {
        Optional<Candidate> leastSevere = leastSevereUnusable(filter);
        while (leastSevere.isPresent() && count(isCounted) < floor) {
            readmitted.add(leastSevere.get());
            leastSevere = leastSevereUnusable(filter);
        }
    }

    private void eject() {
        List<Candidate> outliers = candidates.stream()
                .filter(candidate -> candidate.outlier() && isUsable(candidate) && !readmitted.contains(candidate))
                .sorted(Comparator.comparingDouble(Candidate::severity)
                        .reversed()
                        .thenComparing(Candidate::name))
                .toList();
        long presentCount = count(candidate -> !candidate.leaving());
        long unhealthyCount = count(candidate -> !candidate.leaving() && !isUsable(candidate)) + outliers.size();
        if (2 * unhealthyCount > presentCount) {
            return;
        }
        for (Candidate outlier : outliers) {
            if (floorHoldsWithout(outlier)) {
                ejected.add(outlier);
            } else {
                replaceLessSevere(outlier);
            }
        }
    }

    private boolean floorHoldsWithout(Candidate candidate) {
        return count(this::countsTowardFloor) - (candidate.warm() ? 1 : 0) >= floor;
    }

    private void replaceLessSevere(Candidate outlier) {
        Optional<Candidate> leastSevere =
                leastSevereUnusable(candidate -> candidate.warm() == outlier.warm() && !ejected.contains(candidate));
        if (leastSevere.isPresent()
                && outlier.severity() > leastSevere.get().severity() + REPLACEMENT_SEVERITY_MARGIN) {
            readmitted.add(leastSevere.get());
            ejected.add(outlier);
        }
    }

    private Optional<Candidate> leastSevereUnusable(Predicate<Candidate> filter) {
        return candidates.stream()
                .filter(candidate -> !candidate.leaving() && !isUsable(candidate) && filter.test(candidate))
                .min(Comparator.comparingDouble(Candidate::severity).thenComparing(Candidate::name));
    }

    private boolean isUsable(Candidate candidate) {
        boolean wasHealthy = candidate.health() == ServerHealth.HEALTHY;
        return !candidate.leaving() && !ejected.contains(candidate) && (wasHealthy || readmitted.contains(candidate));
    }

    private boolean countsTowardFloor(Candidate candidate) {
        return candidate.warm() && isUsable(candidate);
    }

    private long count(Predicate<Candidate> filter) {
        return candidates.stream().filter(filter).count();
    }

    private static List<String> namesOf(List<Candidate> selected) {
        return selected.stream().map(Candidate::name).toList();
    }

    /**
     * The properties of a server that the decision depends on.
     *
     * @param name the name of the server
     * @param health the present health state
     * @param leaving whether the server is leaving
     * @param warm whether the server has finished its cold-start ramp
     * @param outlier whether its errors or its slowness stand out from those of the other servers
     * @param severity the recent share of failed attempts, in which slow ones count half, from 0 to 1
     */
    record Candidate(
            String name, ServerHealth health, boolean leaving, boolean warm, boolean outlier, double severity) {}

    /**
     * The changes of health states to apply.
     *
     * @param serversToEject the names of the servers to eject
     * @param serversToReadmit the names of the servers to readmit
     */
    record Decision(List<String> serversToEject, List<String> serversToReadmit) {}
}
