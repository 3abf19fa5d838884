package org.cassiabank.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Compares what callers and backend servers observed with the guarantees of the fleet. */
final class GuaranteeChecks {
    static final double RETRY_BUDGET_RATIO = 0.2;
    static final int RETRY_BUDGET_SLACK = 20;
    static final int MAXIMUM_ATTEMPTS = 3;
    /** The statuses which guarantee that a request has not run and will not run. */
    static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);

    private static final long RETRY_BUDGET_WINDOW_MILLIS = 10_000;
    /** Within this time a change is in force and a leaving server gets no more requests. */
    private static final long CHANGE_BOUND_MILLIS = 2_000;

    /** A 404 counts as a rollback only if it is sent this long after a response from the same route or a newer one. */
    private static final long ROLLBACK_TOLERANCE_MILLIS = 250;
    /** A response or an abandonment takes effect at the other side within this time. */
    private static final long RESPONSE_TOLERANCE_MILLIS = 500;
    /** Up to this many lost requests, and as many sent after their abandonment, are tolerated in a run. */
    private static final int TOLERATED_REQUESTS = 3;
    /** Late responses violate a guarantee from this number on, if they are over a quarter of those at the timeout. */
    private static final int MINIMUM_LATE_REQUESTS = 8;
    /** In a window a limited server may get this many times what its limit allows, and the slack. */
    private static final double RATE_LIMIT_FACTOR = 1.5;

    private static final int RATE_LIMIT_SLACK = 5;
    private static final long RATE_LIMIT_WINDOW_MILLIS = 4_000;
    /** The requests of a daemon count from this time on after it passed on a response with the limit. */
    private static final long RATE_LIMIT_NOTICE_MILLIS = 500;
    /** From this time on after a request ended three servers, it may reach three more. */
    private static final long FATAL_STABILITY_MILLIS = 3_000;

    private static final long CUT_STABILITY_MILLIS = 3_000;
    private static final int MINIMUM_CUT_REQUESTS = 20;
    private static final int FATAL_SERVERS = 3;
    private static final int FATAL_ATTEMPTS = 3;
    /** The share of requests with status 200 that is required after recovery. */
    private static final double MINIMUM_SERVED_SHARE = 0.95;

    private final SoakFleet fleet;
    private final RequestHistory history;
    private final List<String> violations = new ArrayList<>();
    private final List<String> lostRequests = new ArrayList<>();
    private final List<String> sentAfterAbandonment = new ArrayList<>();
    private int requestsReachingTimeout;
    private int requestsPastTimeout;

    private GuaranteeChecks(SoakFleet fleet, RequestHistory history) {
        this.fleet = fleet;
        this.history = history;
    }

    /**
     * Checks all guarantees.
     *
     * @param fleet the fleet after the run
     * @param history what callers and servers observed
     * @param recoveredSinceMillis the time from which the fleet has to be recovered from the last fault, by
     *     {@link RequestHistory#nowMillis()}
     * @return a line for each violated guarantee
     * @throws IOException if the log of a daemon cannot be read
     */
    static List<String> findViolations(SoakFleet fleet, RequestHistory history, long recoveredSinceMillis)
            throws IOException {
        GuaranteeChecks checks = new GuaranteeChecks(fleet, history);
        for (RequestHistory.SentRequest request : history.sentRequests().values()) {
            checks.checkArrivals(request);
            checks.checkCompletion(request);
            checks.checkTimeouts(request);
        }
        checks.checkRoutes();
        checks.checkRetryBudget("alpha");
        checks.checkRetryBudget("beta");
        fleet.rateLimitSpans().forEach(checks::checkRateLimit);
        fleet.serverCuts().forEach(checks::checkServerCut);
        checks.checkAnnouncements();
        checks.checkFatalRequest();
        checks.checkRecovery(recoveredSinceMillis);
        checks.checkProcesses();
        checks.reportIf(
                checks.lostRequests.size() > TOLERATED_REQUESTS,
                "connections ended without a response: " + checks.lostRequests);
        checks.reportIf(
                checks.sentAfterAbandonment.size() > TOLERATED_REQUESTS,
                "sent to servers after the callers had abandoned them: " + checks.sentAfterAbandonment);
        checks.reportIf(
                checks.requestsPastTimeout >= MINIMUM_LATE_REQUESTS
                        && 4 * checks.requestsPastTimeout > checks.requestsReachingTimeout,
                checks.requestsPastTimeout + " of " + checks.requestsReachingTimeout
                        + " requests were held past their timeout");
        history.arrivalsById().keySet().stream()
                .filter(id -> !history.sentRequests().containsKey(id))
                .forEach(id -> checks.violations.add("a server received request " + id + ", which no caller sent"));
        return checks.violations;
    }

    private void checkArrivals(RequestHistory.SentRequest request) {
        String expectedRequest = request.method() + " " + request.path() + " " + request.body();
        long executions = history.countExecutions(request.id());
        for (RequestHistory.Arrival arrival : history.arrivals(request.id())) {
            reportIf(!arrival.request().equals(expectedRequest), request + " was changed to " + arrival.request());
            reportIf(
                    !arrival.service().equals(request.isOrder() ? "beta" : "alpha"),
                    request + " went to " + arrival.service());
            reportIf(
                    arrival.leavingMillis() > CHANGE_BOUND_MILLIS
                            && fleet.isUndisturbed(request.daemonNumber(), request.atMillis(), arrival.atMillis()),
                    request + " reached " + arrival.server() + " " + arrival.leavingMillis() + " ms after its leaving");
        }
        reportIf(request.isOrder() && executions > 1, request + " ran " + executions + " times");
        reportIf(executions > MAXIMUM_ATTEMPTS, request + " ran at " + executions + " servers");
    }

    private void checkCompletion(RequestHistory.SentRequest request) {
        history.completion(request.id()).ifPresent(completion -> {
            boolean isExecuted = history.countExecutions(request.id()) > 0;
            reportIf(
                    completion.status() / 100 == 2 && !(completion.isValid() && isExecuted),
                    request + " got a response to another request or without running");
            reportIf(
                    NOT_EXECUTED_STATUSES.contains(completion.status()) && request.isOrder() && isExecuted,
                    request + " ran although it was refused with " + completion.status());
            boolean isDenied = completion.status() / 100 == 4 && !NOT_EXECUTED_STATUSES.contains(completion.status());
            reportIf(isDenied && !request.path().startsWith("/v"), request + " was denied with " + completion.status());
            long fromMillis = Math.max(request.atMillis(), completion.atMillis() - SoakFaults.RECORD_LAG_MILLIS);
            if (completion.status() == 0
                    && !history.arrivals(request.id()).isEmpty()
                    && fleet.isUndisturbed(request.daemonNumber(), request.atMillis(), fromMillis)) {
                lostRequests.add(request.toString());
            }
        });
    }

    private void checkTimeouts(RequestHistory.SentRequest request) {
        long timeoutMillis = request.atMillis() + SoakCaller.REQUEST_TIMEOUT_MILLIS;
        long latestMillis = timeoutMillis + RESPONSE_TOLERANCE_MILLIS;
        long endMillis = history.completion(request.id())
                .map(RequestHistory.Completion::atMillis)
                .orElse(history.abandonedAtMillis(request.id()).orElse(Long.MIN_VALUE));
        if (endMillis >= timeoutMillis
                && fleet.isUndisturbed(request.daemonNumber(), request.atMillis(), latestMillis)) {
            requestsReachingTimeout++;
            requestsPastTimeout += endMillis > latestMillis ? 1 : 0;
        }
        history.abandonedAtMillis(request.id()).ifPresent(abandonedMillis -> history.arrivals(request.id()).stream()
                .filter(arrival -> arrival.atMillis() > abandonedMillis + RESPONSE_TOLERANCE_MILLIS
                        && fleet.isUndisturbed(request.daemonNumber(), request.atMillis(), arrival.atMillis()))
                .forEach(arrival -> sentAfterAbandonment.add(request + " at " + arrival.atMillis())));
    }

    /** Routes are never removed, so a daemon that has applied a route may not respond with 404 to it later. */
    private void checkRoutes() {
        Map<String, List<RequestHistory.SentRequest>> requestsByStart = new HashMap<>();
        for (RequestHistory.SentRequest request : history.sentRequests().values()) {
            if (request.path().startsWith("/v")
                    && history.completion(request.id()).isPresent()) {
                requestsByStart
                        .computeIfAbsent(request.daemonNumber() + "/" + request.startNumber(), key -> new ArrayList<>())
                        .add(request);
            }
        }
        for (List<RequestHistory.SentRequest> requests : requestsByStart.values()) {
            for (RequestHistory.SentRequest denied : requests) {
                if (history.completion(denied.id()).orElseThrow().status() != 404) {
                    continue;
                }
                long inForceMillis = fleet.acknowledgedAtMillis(versionOf(denied)) + CHANGE_BOUND_MILLIS;
                reportIf(
                        denied.atMillis() > inForceMillis
                                && fleet.isUndisturbed(denied.daemonNumber(), denied.atMillis(), denied.atMillis()),
                        denied + " was denied " + (denied.atMillis() - inForceMillis) + " ms too late");
                boolean isRolledBack = requests.stream()
                        .filter(other -> versionOf(other) >= versionOf(denied))
                        .map(other -> history.completion(other.id()).orElseThrow())
                        .anyMatch(other -> other.status() == 200
                                && other.atMillis() + ROLLBACK_TOLERANCE_MILLIS < denied.atMillis());
                reportIf(isRolledBack, denied + " was denied by a daemon that had applied its route");
            }
        }
    }

    private void checkRetryBudget(String service) {
        List<Long> requestTimesMillis = history.sentRequests().values().stream()
                .filter(request -> request.isOrder() == service.equals("beta"))
                .map(RequestHistory.SentRequest::atMillis)
                .sorted()
                .toList();
        List<Long> retryTimesMillis = history.arrivalsById().values().stream()
                .flatMap(arrivals -> arrivals.stream()
                        .filter(arrival -> arrival.service().equals(service))
                        .skip(1))
                .map(RequestHistory.Arrival::atMillis)
                .sorted()
                .toList();
        for (long windowEndMillis : retryTimesMillis) {
            long retries =
                    countBetween(retryTimesMillis, windowEndMillis - RETRY_BUDGET_WINDOW_MILLIS, windowEndMillis);
            long requests = Math.max(
                    countBetween(requestTimesMillis, windowEndMillis - RETRY_BUDGET_WINDOW_MILLIS, windowEndMillis),
                    countBetween(
                            requestTimesMillis,
                            windowEndMillis - 2 * RETRY_BUDGET_WINDOW_MILLIS,
                            windowEndMillis - RETRY_BUDGET_WINDOW_MILLIS));
            if (retries > RETRY_BUDGET_RATIO * requests + RETRY_BUDGET_SLACK) {
                violations.add(service + ": " + retries + " retries beside " + requests + " requests in 10 s");
                return;
            }
        }
    }

    private static long countBetween(List<Long> timesMillis, long fromMillis, long untilMillis) {
        return timesMillis.stream()
                .filter(millis -> millis > fromMillis && millis <= untilMillis)
                .count();
    }

    /** Counts the requests of a limited server from undisturbed daemons that had passed on its limit. */
    private void checkRateLimit(SoakFleet.RateLimitSpan limit) {
        Map<Integer, Long> toldMillisByDaemon = new HashMap<>();
        List<Map.Entry<RequestHistory.SentRequest, RequestHistory.Arrival>> arrivals = new ArrayList<>();
        history.arrivalsById().forEach((id, list) -> list.stream()
                .filter(arrival -> arrival.server().equals(limit.server())
                        && arrival.atMillis() >= limit.span().fromMillis()
                        && arrival.atMillis() <= limit.span().untilMillis()
                        && history.sentRequests().containsKey(id))
                .forEach(
                        arrival -> arrivals.add(Map.entry(history.sentRequests().get(id), arrival))));
        for (var arrival : arrivals) {
            history.completion(arrival.getKey().id())
                    .filter(completion -> completion.status() == 200)
                    .ifPresent(completion -> toldMillisByDaemon.merge(
                            arrival.getKey().daemonNumber(), completion.atMillis(), Math::min));
        }
        List<Long> countedMillis = arrivals.stream()
                .filter(arrival -> arrival.getValue().atMillis()
                                >= toldMillisByDaemon.getOrDefault(
                                                arrival.getKey().daemonNumber(), Long.MAX_VALUE / 2)
                                        + RATE_LIMIT_NOTICE_MILLIS
                        && fleet.isUndisturbed(
                                arrival.getKey().daemonNumber(),
                                limit.span().fromMillis(),
                                arrival.getValue().atMillis()))
                .map(arrival -> arrival.getValue().atMillis())
                .toList();
        long allowed = (long) Math.ceil(
                RATE_LIMIT_FACTOR * limit.requestsPerSecond() * RATE_LIMIT_WINDOW_MILLIS / 1_000 + RATE_LIMIT_SLACK);
        countedMillis.stream()
                .map(untilMillis -> countBetween(countedMillis, untilMillis - RATE_LIMIT_WINDOW_MILLIS, untilMillis))
                .max(Comparator.naturalOrder())
                .filter(count -> count > allowed)
                .ifPresent(count -> violations.add(limit.server() + " accepts " + limit.requestsPerSecond()
                        + " requests a second and got " + count + " in 4 s, " + allowed + " are allowed"));
    }

    /**
     * A daemon that has passed on a response which says that the server leaves sends it no request that callers send
     * later than the bound, whatever the store and the peers know. A restart or a pause of the daemon excuses it.
     */
    private void checkAnnouncements() {
        Map<String, Long> toldMillis = new HashMap<>();
        for (RequestHistory.SentRequest request : history.sentRequests().values()) {
            List<RequestHistory.Arrival> arrivals = history.arrivals(request.id());
            if (arrivals.size() == 1 && arrivals.getFirst().isAnnounced()) {
                history.completion(request.id())
                        .filter(completion -> completion.status() == 200)
                        .ifPresent(completion -> toldMillis.merge(
                                announcementKey(request, arrivals.getFirst()), completion.atMillis(), Math::min));
            }
        }
        for (RequestHistory.SentRequest request : history.sentRequests().values()) {
            for (RequestHistory.Arrival arrival : history.arrivals(request.id())) {
                long sinceMillis = toldMillis.getOrDefault(announcementKey(request, arrival), Long.MAX_VALUE / 2);
                reportIf(
                        request.atMillis() > sinceMillis + CHANGE_BOUND_MILLIS
                                && fleet.isNotPaused(request.daemonNumber(), sinceMillis, arrival.atMillis()),
                        request + " reached " + arrival.server() + ", sent " + (request.atMillis() - sinceMillis)
                                + " ms after its daemon had passed on that the server leaves");
            }
        }
    }

    private static String announcementKey(RequestHistory.SentRequest request, RequestHistory.Arrival arrival) {
        return request.daemonNumber() + "/" + request.startNumber() + "/" + arrival.server() + "/"
                + arrival.bornMillis();
    }

    /** Counts the servers that the fatal request reached through undisturbed daemons, after it had ended three. */
    private void checkFatalRequest() {
        List<Map.Entry<RequestHistory.SentRequest, RequestHistory.Arrival>> runs = new ArrayList<>();
        history.sentRequests().values().stream()
                .filter(request -> request.path().equals(SoakCaller.FATAL_PATH))
                .forEach(request -> history.arrivals(request.id()).stream()
                        .filter(RequestHistory.Arrival::isExecuted)
                        .forEach(arrival -> runs.add(Map.entry(request, arrival))));
        runs.sort(Comparator.comparingLong(run -> run.getValue().atMillis()));
        if (runs.size() <= FATAL_SERVERS) {
            return;
        }
        long countedFromMillis = runs.get(FATAL_SERVERS - 1).getValue().atMillis() + FATAL_STABILITY_MILLIS;
        List<String> counted = runs.stream()
                .filter(run -> run.getValue().atMillis() > countedFromMillis
                        && fleet.isUndisturbed(
                                run.getKey().daemonNumber(),
                                run.getKey().atMillis(),
                                run.getValue().atMillis()))
                .map(run -> run.getKey() + " at " + run.getValue().server())
                .toList();
        reportIf(
                counted.size() > FATAL_ATTEMPTS,
                "a request that had ended " + FATAL_SERVERS + " servers ended " + counted);
    }

    /** From some time after a cut on, daemons without a path to the servers have to serve almost like the others. */
    private void checkServerCut(SoakFleet.ServerCut cut) {
        int[] sent = new int[2];
        int[] served = new int[2];
        for (RequestHistory.SentRequest request : history.sentRequests().values()) {
            if (request.atMillis() >= cut.span().fromMillis() + CUT_STABILITY_MILLIS
                    && request.atMillis() < cut.span().untilMillis()
                    && history.completion(request.id()).isPresent()
                    && fleet.isDaemonUndisturbed(request.daemonNumber(), request.atMillis(), request.atMillis())) {
                int group = cut.daemonNumbers().contains(request.daemonNumber()) ? 0 : 1;
                sent[group]++;
                served[group] += history.completion(request.id()).orElseThrow().status() == 200 ? 1 : 0;
            }
        }
        reportIf(
                Math.min(sent[0], sent[1]) >= MINIMUM_CUT_REQUESTS
                        && 3L * served[0] * sent[1] < 2L * served[1] * sent[0],
                "daemons that were cut off from the servers served " + served[0] + " of " + sent[0]
                        + " requests, the others " + served[1] + " of " + sent[1]);
    }

    private void checkRecovery(long recoveredSinceMillis) {
        List<RequestHistory.Completion> completions = history.sentRequests().values().stream()
                .filter(request -> request.atMillis() > recoveredSinceMillis + CHANGE_BOUND_MILLIS)
                .flatMap(request -> history.completion(request.id()).stream())
                .toList();
        long served = completions.stream()
                .filter(completion -> completion.status() == 200)
                .count();
        reportIf(
                served < MINIMUM_SERVED_SHARE * completions.size(),
                "after the last fault only " + served + " of " + completions.size() + " requests were served");
    }

    private void checkProcesses() throws IOException {
        for (SoakFleet.Daemon daemon : fleet.daemons) {
            reportIf(!daemon.process.isAlive(), daemon.name + " exited unexpectedly");
            List<String> lines = Files.readAllLines(fleet.directory().resolve(daemon.name + ".log"));
            lines.stream()
                    .filter(line -> line.contains("level=severe") || line.contains("OutOfMemoryError"))
                    .min(Comparator.naturalOrder())
                    .ifPresent(line -> violations.add(daemon.name + " logged " + line));
        }
    }

    private static int versionOf(RequestHistory.SentRequest request) {
        return Integer.parseInt(request.path().substring(2, request.path().lastIndexOf('/')));
    }

    private void reportIf(boolean isViolated, String message) {
        if (isViolated) {
            violations.add(message);
        }
    }
}
