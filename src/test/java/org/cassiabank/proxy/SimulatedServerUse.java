package org.cassiabank.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** The faults of the servers of a simulation, and the requests that reach them. */
final class SimulatedServerUse {
    private final List<String> servers;
    private final List<SimulatedFault> faults = new ArrayList<>();
    private final List<Start> starts = new ArrayList<>();

    SimulatedServerUse(List<String> servers) {
        this.servers = List.copyOf(servers);
    }

    void add(SimulatedFault fault) {
        faults.add(fault);
    }

    void recordStart(String server, double atMillis) {
        starts.add(new Start(server, atMillis));
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
