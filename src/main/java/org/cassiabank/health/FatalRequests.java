package org.cassiabank.health;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Finds requests that end each server that runs them, and keeps them from further servers.
 *
 * <p>When a connection breaks, the server may have ended, and any request that it ran may be the reason. Three
 * different processes tell the reason from the requests that were beside it: those are answered elsewhere, which clears
 * them. A break also proves nothing if the same process answers a later request. From the second process on, a request
 * is sent to one server at a time and not retried; from the third one on, it is refused for a time that doubles with
 * each further process. Then one attempt shows whether it is still fatal.
 *
 * <p>Instances are not thread-safe.
 */
public final class FatalRequests {
    /** The number of processes from which on a request is sent to one server at a time. */
    public static final int SUSPECTED_PROCESSES = 2;

    /** The number of processes from which on a request is refused. */
    public static final int FATAL_PROCESSES = 3;

    /** Longer than callers repeat a request on their own. */
    private static final long FIRST_REFUSAL_MILLIS = 60_000;

    private static final int MAXIMUM_REFUSAL_DOUBLINGS = 4;

    /** Exceeds the longest refusal, so that the attempt after it counts with those before. */
    private static final long RETENTION_MILLIS = 1_800_000;

    /** A process that restarted under its name answers this early while the list still shows the former process. */
    private static final long REFUTATION_DELAY_MILLIS = 2_500;

    /** The retry time of a request that another attempt at the same request keeps waiting. */
    private static final long CONCURRENT_ATTEMPT_RETRY_MILLIS = 1_000;

    /** Each takes about 500 bytes; requests with the oldest news are forgotten first. */
    private static final int MAXIMUM_REQUESTS = 4_096;

    private final Map<RequestDigest, Suspect> suspects = new LinkedHashMap<>();
    private final Map<Process, Set<RequestDigest>> digestsByProcess = new HashMap<>();

    private FatalRequests() {}

    /**
     * Creates an instance that suspects no request.
     *
     * @return the instance
     */
    public static FatalRequests create() {
        return new FatalRequests();
    }

    /**
     * Decides whether a request may be sent to a server now. If so, the attempt has to be recorded when it ends.
     *
     * @param digest identifies the request
     * @param additionalAttempt whether the attempt follows an earlier one for the same call of the caller
     * @param attemptMillis the longest time of the attempt in milliseconds
     * @param nowMillis the current time in milliseconds
     * @return the time in milliseconds after which the caller may come back, empty if the request may be sent
     */
    public OptionalLong refusalMillis(
            RequestDigest digest, boolean additionalAttempt, long attemptMillis, long nowMillis) {
        Suspect suspect = suspects.get(digest);
        if (suspect == null) {
            return OptionalLong.empty();
        }
        int processes = suspect.countProcesses();
        if (processes < SUSPECTED_PROCESSES) {
            return OptionalLong.empty();
        }
        if (processes >= FATAL_PROCESSES) {
            int doublings = Math.min(MAXIMUM_REFUSAL_DOUBLINGS, processes - FATAL_PROCESSES);
            long refusedUntilMillis = suspect.lastCrashMillis() + (FIRST_REFUSAL_MILLIS << doublings);
            if (nowMillis < refusedUntilMillis) {
                return OptionalLong.of(refusedUntilMillis - nowMillis);
            }
        }
        if (additionalAttempt || nowMillis < suspect.attemptEndMillis) {
            return OptionalLong.of(CONCURRENT_ATTEMPT_RETRY_MILLIS);
        }
        suspect.attemptEndMillis = nowMillis + attemptMillis;
        return OptionalLong.empty();
    }

    /**
     * Records that a connection broke while its server ran a request, or that the server restarted meanwhile.
     *
     * @param digest identifies the request
     * @param service the service that the request is for
     * @param server the name of the server
     * @param incarnation the start of the server, 0 if the platform does not report it
     * @param nowMillis the current time in milliseconds
     * @return the number of processes that have ended while they ran the request; 0 for a request without a digest
     */
    public int recordCrash(RequestDigest digest, String service, String server, long incarnation, long nowMillis) {
        Objects.requireNonNull(service, "service");
        if (!digest.isKnown()) {
            return 0;
        }
        Suspect suspect = suspectFor(digest, service, nowMillis);
        suspect.attemptEndMillis = nowMillis;
        addCrash(digest, suspect, new Process(server, incarnation), new Crash(nowMillis, false), nowMillis);
        return suspect.countProcesses();
    }

    /**
     * Records that an attempt ended and that its server goes on.
     *
     * @param digest identifies the request
     * @param answered whether the server answered the request, which clears it
     * @param nowMillis the current time in milliseconds
     */
    public void recordEnd(RequestDigest digest, boolean answered, long nowMillis) {
        Suspect suspect = suspects.get(digest);
        if (suspect != null) {
            suspect.attemptEndMillis = nowMillis;
            if (answered && suspect.countProcesses() > 0) {
                suspect.crashes.replaceAll((process, crash) -> new Crash(crash.atMillis, true));
                suspect.changedMillis = nowMillis;
            }
        }
    }

    /**
     * Records that a server process answered any request, which proves that it has not ended before.
     *
     * @param server the name of the server
     * @param incarnation the start of the server, 0 if the platform does not report it
     * @param attemptStartMillis the time at which the attempt began, in milliseconds
     * @param nowMillis the current time in milliseconds
     */
    public void recordLivingServer(String server, long incarnation, long attemptStartMillis, long nowMillis) {
        Process process = new Process(server, incarnation);
        for (RequestDigest digest : digestsByProcess.getOrDefault(process, Set.of())) {
            Suspect suspect = suspects.get(digest);
            Crash crash = suspect.crashes.get(process);
            if (!crash.refuted && attemptStartMillis >= crash.atMillis + REFUTATION_DELAY_MILLIS) {
                suspect.crashes.put(process, new Crash(crash.atMillis, true));
                suspect.changedMillis = nowMillis;
            }
        }
    }

    /**
     * Returns the suspected requests that changed, for other proxies that may own their shard next.
     *
     * @param sinceMillis the time of the earliest change in milliseconds
     * @param minimumProcesses the number of processes that broke a connection at the request, at least
     * @param nowMillis the current time in milliseconds
     * @return the requests
     */
    public List<SuspectedRequest> changedSince(long sinceMillis, int minimumProcesses, long nowMillis) {
        List<SuspectedRequest> changed = new ArrayList<>();
        suspects.forEach((digest, suspect) -> {
            if (suspect.changedMillis >= sinceMillis && suspect.crashes.size() >= minimumProcesses) {
                List<ServerCrash> crashes = new ArrayList<>();
                suspect.crashes.forEach((process, crash) -> crashes.add(new ServerCrash(
                        process.server, process.incarnation, Math.max(0, nowMillis - crash.atMillis), crash.refuted)));
                changed.add(new SuspectedRequest(digest, suspect.service, crashes));
            }
        });
        return changed;
    }

    /**
     * Adds what another proxy observed.
     *
     * @param request the request with the crashes that the other proxy knows
     * @param nowMillis the current time in milliseconds
     */
    public void merge(SuspectedRequest request, long nowMillis) {
        if (!request.digest().isKnown() || request.crashes().isEmpty()) {
            return;
        }
        Suspect suspect = suspectFor(request.digest(), request.service(), nowMillis);
        for (ServerCrash crash : request.crashes()) {
            addCrash(
                    request.digest(),
                    suspect,
                    new Process(crash.server(), crash.incarnation()),
                    new Crash(nowMillis - crash.ageMillis(), crash.refuted()),
                    nowMillis);
        }
    }

    /**
     * Returns how many requests are refused at a time.
     *
     * @return the number of requests that ended at least three processes
     */
    public int countFatal() {
        return (int) suspects.values().stream()
                .filter(suspect -> suspect.countProcesses() >= FATAL_PROCESSES)
                .count();
    }

    /** Adds a crash; of two about the same process the later one counts, or the one that was refuted. */
    private void addCrash(RequestDigest digest, Suspect suspect, Process process, Crash crash, long nowMillis) {
        Crash known = suspect.crashes.get(process);
        boolean isNews = known == null
                || crash.atMillis > known.atMillis + REFUTATION_DELAY_MILLIS
                || crash.refuted && !known.refuted && crash.atMillis + REFUTATION_DELAY_MILLIS >= known.atMillis;
        if (isNews) {
            suspect.crashes.put(process, crash);
            suspect.changedMillis = nowMillis;
            digestsByProcess.computeIfAbsent(process, key -> new HashSet<>()).add(digest);
        }
    }

    private Suspect suspectFor(RequestDigest digest, String service, long nowMillis) {
        Suspect suspect = suspects.remove(digest);
        if (suspect == null) {
            suspect = new Suspect(service);
        }
        // The map is in the order of the latest news.
        suspects.put(digest, suspect);
        List<RequestDigest> forgotten = new ArrayList<>();
        for (Map.Entry<RequestDigest, Suspect> oldest : suspects.entrySet()) {
            boolean isExpired =
                    oldest.getValue() != suspect && oldest.getValue().changedMillis + RETENTION_MILLIS < nowMillis;
            if (!isExpired && suspects.size() - forgotten.size() <= MAXIMUM_REQUESTS) {
                break;
            }
            forgotten.add(oldest.getKey());
        }
        forgotten.forEach(this::forget);
        return suspect;
    }

    private void forget(RequestDigest digest) {
        for (Process process : suspects.remove(digest).crashes.keySet()) {
            digestsByProcess.computeIfPresent(process, (key, digests) -> {
                digests.remove(digest);
                return digests.isEmpty() ? null : digests;
            });
        }
    }

    /** One run of a server. */
    private record Process(String server, long incarnation) {}

    /** The time at which a connection broke, and whether the process showed later that it goes on. */
    private record Crash(long atMillis, boolean refuted) {}

    /** What is known about one request. */
    private static final class Suspect {
        private final String service;
        private final Map<Process, Crash> crashes = new HashMap<>();
        /** The time until which the only attempt at the request lasts at the longest. */
        private long attemptEndMillis = Long.MIN_VALUE;

        private long changedMillis;

        private Suspect(String service) {
            this.service = service;
        }

        private int countProcesses() {
            return (int)
                    crashes.values().stream().filter(crash -> !crash.refuted).count();
        }

        private long lastCrashMillis() {
            return crashes.values().stream()
                    .filter(crash -> !crash.refuted)
                    .mapToLong(Crash::atMillis)
                    .max()
                    .orElse(Long.MIN_VALUE);
        }
    }
}
