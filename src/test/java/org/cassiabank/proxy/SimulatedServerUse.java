package org.cassiabank.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.cassiabank.admission.CompletedLease;
import org.cassiabank.health.AttemptOutcome;

/** The faults of the servers of a simulation, and the requests that reach them. */
final class SimulatedServerUse {
    private final List<String> servers;
    private final List<SimulatedFault> faults = new ArrayList<>();
    private final List<Start> starts = new ArrayList<>();
    private long lostTests;

    SimulatedServerUse(List<String> servers) {
        this.servers = List.copyOf(servers);
    }

    void add(SimulatedFault fault) {
        faults.add(fault);
    }

    void recordStart(String server, double atMillis) {
        starts.add(new Start(server, atMillis));
    }

    void recordEnd(CompletedLease completed, AttemptOutcome outcome) {
        lostTests += completed.suspectTest() && !completed.repeatable() && outcome.isEvidenceAgainstServer() ? 1 : 0;
    }

    /** Returns how many unrepeatable requests were lost to tests of suspect servers. */
    long lostTests() {
        return lostTests;
    }

    /**
     * Returns how long the servers took from the end of each fault to a number of requests, in milliseconds. Faults are
     * left out if another one of the server, or the end of the play, follows within the given time.
     */
    List<Double> millisUntilRequests(int requests, double soundMillis, double endMillis) {
        return faults.stream()
                .filter(fault -> fault.untilMillis() + soundMillis <= endMillis
                        && faults.stream()
                                .noneMatch(other -> other.server().equals(fault.server())
                                        && other.fromMillis() > fault.fromMillis()
                                        && other.fromMillis() < fault.untilMillis() + soundMillis))
                .map(fault -> starts.stream()
                                .filter(start -> start.server().equals(fault.server())
                                        && start.atMillis() >= fault.untilMillis())
                                .skip(requests - 1)
                                .mapToDouble(Start::atMillis)
                                .findFirst()
                                .orElse(Double.POSITIVE_INFINITY)
                        - fault.untilMillis())
                .toList();
    }

    List<SimulatedFault> faultsAt(String server, double atMillis) {
        return faults.stream()
                .filter(fault -> fault.server().equals(server)
                        && fault.fromMillis() <= atMillis
                        && fault.untilMillis() > atMillis)
                .toList();
    }

    /** Returns the share of the servers that are sound throughout a time and get a request in it; 1 if none is. */
    double usedShare(double fromMillis, double untilMillis) {
        Set<String> sound = servers.stream()
                .filter(server -> faults.stream()
                        .noneMatch(fault -> fault.server().equals(server)
                                && fault.fromMillis() < untilMillis
                                && fault.untilMillis() + fault.soundAfterMillis() > fromMillis))
                .collect(Collectors.toSet());
        long used = starts.stream()
                .filter(start -> start.atMillis() >= fromMillis && start.atMillis() < untilMillis)
                .map(Start::server)
                .filter(sound::contains)
                .distinct()
                .count();
        return sound.isEmpty() ? 1 : (double) used / sound.size();
    }

    /** A request that began at a server. */
    private record Start(String server, double atMillis) {}
}
