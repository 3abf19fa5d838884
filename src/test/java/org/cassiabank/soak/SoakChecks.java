package org.cassiabank.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Compares what callers and servers saw with what the fleet promises. */
final class SoakChecks {
    static final double RETRY_RATIO = 0.2;
    static final int RETRY_SLACK = 20;
    static final int MOST_ATTEMPTS = 3;
    private static final long RETRY_WINDOW_MILLIS = 10_000;
    /** A change is in force, and a server that leaves gets no more work, within this time. */
    private static final long IN_FORCE_MILLIS = 2_000;

    private static final long ROLLBACK_SLACK_MILLIS = 250;
    private static final long ANSWER_SLACK_MILLIS = 500;
    private static final int FEW = 3;
    private static final int LATE_SAMPLE = 8;
    private static final double RECOVERED_SHARE = 0.95;
    /** The statuses that promise that a request has not run and will not. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private final SoakFleet fleet;
    private final Ledger ledger;
    private final List<String> broken = new ArrayList<>();
    private final List<String> lost = new ArrayList<>();
    private final List<String> sentForNobody = new ArrayList<>();
    private int reachedTimeout;
    private int heldLonger;

    private SoakChecks(SoakFleet fleet, Ledger ledger) {
        this.fleet = fleet;
        this.ledger = ledger;
    }

    /**
     * Finds broken promises.
     *
     * @param fleet the fleet after the run
     * @param ledger what was seen
     * @param calmSinceMillis when the last fault was over
     * @return a line for each broken promise
     */
    static List<String> find(SoakFleet fleet, Ledger ledger, long calmSinceMillis) throws IOException {
        SoakChecks checks = new SoakChecks(fleet, ledger);
        for (Ledger.Sent request : ledger.allSent().values()) {
            checks.checkRuns(request);
            checks.checkEnd(request);
            checks.checkTimes(request);
        }
        checks.checkConfiguration();
        checks.checkRepeats("alpha");
        checks.checkRepeats("beta");
        checks.checkRecovery(calmSinceMillis);
        checks.checkProcesses();
        checks.reportIf(checks.lost.size() > FEW, "connections ended without an answer: " + checks.lost);
        checks.reportIf(checks.sentForNobody.size() > FEW, "sent for callers that had left: " + checks.sentForNobody);
        checks.reportIf(
                checks.heldLonger >= LATE_SAMPLE && 4 * checks.heldLonger > checks.reachedTimeout,
                checks.heldLonger + " of " + checks.reachedTimeout + " requests were held past their timeout");
        ledger.allArrivals().keySet().stream()
                .filter(id -> !ledger.allSent().containsKey(id))
                .forEach(id -> checks.broken.add("a server got request " + id + ", which nobody sent"));
        return checks.broken;
    }

    private void checkRuns(Ledger.Sent request) {
        String text = request.method() + " " + request.path() + " " + request.body();
        long runs = ledger.runs(request.id());
        for (Ledger.Arrival arrival : ledger.arrivals(request.id())) {
            reportIf(!arrival.request().equals(text), request + " was changed to " + arrival.request());
            reportIf(
                    !arrival.service().equals(request.isOrder() ? "beta" : "alpha"),
                    request + " went to " + arrival.service());
            reportIf(
                    arrival.leavingMillis() > IN_FORCE_MILLIS
                            && fleet.isInTouch(request.daemon(), request.atMillis(), arrival.atMillis()),
                    request + " reached " + arrival.server() + " " + arrival.leavingMillis() + " ms after it left");
        }
        reportIf(request.isOrder() && runs > 1, request + " ran " + runs + " times");
        reportIf(runs > MOST_ATTEMPTS, request + " ran at " + runs + " servers");
    }

    private void checkEnd(Ledger.Sent request) {
        ledger.end(request.id()).ifPresent(end -> {
            boolean ran = ledger.runs(request.id()) > 0;
            reportIf(end.status() / 100 == 2 && !(end.proper() && ran), request + " got another answer");
            reportIf(
                    PROMISES.contains(end.status()) && request.isOrder() && ran,
                    request + " ran and was refused with " + end.status());
            boolean isOwnRefusal = end.status() / 100 == 4 && !PROMISES.contains(end.status());
            reportIf(isOwnRefusal && !request.path().startsWith("/v"), request + " was denied with " + end.status());
            long from = Math.max(request.atMillis(), end.atMillis() - SoakFaults.SETTLING_MILLIS);
            if (end.status() == 0
                    && !ledger.arrivals(request.id()).isEmpty()
                    && fleet.isInTouch(request.daemon(), request.atMillis(), from)) {
                lost.add(request.toString());
            }
        });
    }

    private void checkTimes(Ledger.Sent request) {
        long timeout = request.atMillis() + SoakCaller.TIMEOUT_MILLIS;
        long latest = timeout + ANSWER_SLACK_MILLIS;
        long end = ledger.end(request.id())
                .map(Ledger.Ended::atMillis)
                .orElse(ledger.leftAt(request.id()).orElse(Long.MIN_VALUE));
        if (end >= timeout && fleet.isInTouch(request.daemon(), request.atMillis(), latest)) {
            reachedTimeout++;
            heldLonger += end > latest ? 1 : 0;
        }
        ledger.leftAt(request.id()).ifPresent(left -> ledger.arrivals(request.id()).stream()
                .filter(arrival -> arrival.atMillis() > left + ANSWER_SLACK_MILLIS
                        && fleet.isInTouch(request.daemon(), request.atMillis(), arrival.atMillis()))
                .forEach(arrival -> sentForNobody.add(request + " at " + arrival.atMillis())));
    }

    /** Routes stay once they are there, so a daemon that knew one may never deny it again. */
    private void checkConfiguration() {
        Map<String, List<Ledger.Sent>> byStart = new HashMap<>();
        for (Ledger.Sent request : ledger.allSent().values()) {
            if (request.path().startsWith("/v") && ledger.end(request.id()).isPresent()) {
                byStart.computeIfAbsent(request.daemon() + "/" + request.start(), key -> new ArrayList<>())
                        .add(request);
            }
        }
        for (List<Ledger.Sent> requests : byStart.values()) {
            for (Ledger.Sent denied : requests) {
                if (ledger.end(denied.id()).orElseThrow().status() != 404) {
                    continue;
                }
                long inForce = fleet.acknowledgedAt(versionOf(denied)) + IN_FORCE_MILLIS;
                reportIf(
                        denied.atMillis() > inForce
                                && fleet.isInTouch(denied.daemon(), denied.atMillis(), denied.atMillis()),
                        denied + " was denied " + (denied.atMillis() - inForce) + " ms too late");
                boolean wentBack = requests.stream()
                        .filter(other -> versionOf(other) >= versionOf(denied))
                        .map(other -> ledger.end(other.id()).orElseThrow())
                        .anyMatch(other ->
                                other.status() == 200 && other.atMillis() + ROLLBACK_SLACK_MILLIS < denied.atMillis());
                reportIf(wentBack, denied + " was denied by a daemon that knew its route");
            }
        }
    }

    private void checkRepeats(String service) {
        List<Long> requests = ledger.allSent().values().stream()
                .filter(request -> request.isOrder() == service.equals("beta"))
                .map(Ledger.Sent::atMillis)
                .sorted()
                .toList();
        List<Long> repeats = ledger.allArrivals().values().stream()
                .flatMap(arrivals -> arrivals.stream()
                        .filter(arrival -> arrival.service().equals(service))
                        .skip(1))
                .map(Ledger.Arrival::atMillis)
                .sorted()
                .toList();
        for (long last : repeats) {
            long inWindow = countBetween(repeats, last - RETRY_WINDOW_MILLIS, last);
            long sent = Math.max(
                    countBetween(requests, last - RETRY_WINDOW_MILLIS, last),
                    countBetween(requests, last - 2 * RETRY_WINDOW_MILLIS, last - RETRY_WINDOW_MILLIS));
            if (inWindow > RETRY_RATIO * sent + RETRY_SLACK) {
                broken.add(service + ": " + inWindow + " repeats beside " + sent + " requests in 10 s");
                return;
            }
        }
    }

    private static long countBetween(List<Long> times, long from, long until) {
        return times.stream().filter(time -> time > from && time <= until).count();
    }

    private void checkRecovery(long calmSinceMillis) {
        List<Ledger.Ended> ends = ledger.allSent().values().stream()
                .filter(request -> request.atMillis() > calmSinceMillis + IN_FORCE_MILLIS)
                .flatMap(request -> ledger.end(request.id()).stream())
                .toList();
        long served = ends.stream().filter(end -> end.status() == 200).count();
        reportIf(
                served < RECOVERED_SHARE * ends.size(),
                "after the last fault only " + served + " of " + ends.size() + " requests were served");
    }

    private void checkProcesses() throws IOException {
        for (SoakFleet.Daemon daemon : fleet.daemons) {
            reportIf(!daemon.process.isAlive(), daemon.name + " ended by itself");
            List<String> lines = Files.readAllLines(fleet.directory().resolve(daemon.name + ".log"));
            lines.stream()
                    .filter(line -> line.contains("level=severe") || line.contains("OutOfMemoryError"))
                    .min(Comparator.naturalOrder())
                    .ifPresent(line -> broken.add(daemon.name + " logged " + line));
        }
    }

    private static int versionOf(Ledger.Sent request) {
        return Integer.parseInt(request.path().substring(2, request.path().lastIndexOf('/')));
    }

    private void reportIf(boolean isBroken, String message) {
        if (isBroken) {
            broken.add(message);
        }
    }
}
