package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.cassiabank.health.FatalRequests;
import org.cassiabank.health.RequestDigest;
import org.cassiabank.health.SuspectedRequest;
import org.cassiabank.kernel.BackgroundTasks;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.KernelService;
import org.cassiabank.membership.Instance;
import org.cassiabank.peer.PeerCall;

/**
 * The requests that this daemon suspects of ending servers, shared with the daemons that may schedule them next.
 *
 * <p>Suspected requests are told to the candidates for their shard. A fatal request is told to all daemons of the
 * region, because each of them schedules by itself while it reaches no candidate, and to the candidates several times,
 * over longer than a machine usually stands still. A daemon that is no candidate tells all others at once what it sees,
 * because none of them may see enough alone. A daemon that begins to own a shard asks the other candidates.
 *
 * <p>Instances are thread-safe.
 */
final class FatalRequestExchange implements KernelService {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int CALL_TIMEOUT_MILLIS = 500;
    private static final long FIRST_REPEAT_MILLIS = 500;
    /** Intervals between repeats double until the sum of 16 s is reached. */
    private static final long LAST_REPEAT_MILLIS = 8_000;

    /** A message with more requests would take too long; the rest follows with their next change. */
    private static final int MAXIMUM_REQUESTS_IN_MESSAGE = 256;

    private final FatalRequests fatalRequests = FatalRequests.create();
    private final FleetState fleet;
    private final PeerTransport peerTransport;
    private final ExecutorService workers = Executors.newVirtualThreadPerTaskExecutor();
    /** Discards repeats that a report schedules while the daemon stops. */
    private final ScheduledExecutorService timer = new ScheduledThreadPoolExecutor(
            1, Thread.ofPlatform().name("fatal-requests").daemon().factory(), new ThreadPoolExecutor.DiscardPolicy());

    private FatalRequestExchange(FleetState fleet, PeerTransport peerTransport) {
        this.fleet = fleet;
        this.peerTransport = peerTransport;
    }

    static FatalRequestExchange create(FleetState fleet, PeerTransport peerTransport, ProxyMetrics metrics) {
        FatalRequestExchange exchange = new FatalRequestExchange(
                Objects.requireNonNull(fleet, "fleet"), Objects.requireNonNull(peerTransport, "peerTransport"));
        metrics.registerGauge(
                "cassiabank_fatal_requests",
                "Requests that ended three servers and are kept from further ones.",
                exchange::countFatal);
        return exchange;
    }

    @Override
    public void stop() {
        timer.shutdownNow();
    }

    /** Decides as {@link FatalRequests#refusalMillis} does. */
    synchronized OptionalLong refusalMillis(RequestDigest digest, boolean additionalAttempt, long attemptMillis) {
        return fatalRequests.refusalMillis(digest, additionalAttempt, attemptMillis, MonotonicClock.millis());
    }

    /**
     * Records as {@link FatalRequests#recordCrash} does, and tells the daemons that may schedule the request next.
     *
     * @param digest identifies the request
     * @param shard the shard for which this daemon scheduled the request
     * @param server the name of the server
     * @param incarnation the start of the server, 0 if the platform does not report it
     */
    void recordCrash(RequestDigest digest, ShardKey shard, String server, long incarnation) {
        int processes;
        long nowMillis = MonotonicClock.millis();
        synchronized (this) {
            processes = fatalRequests.recordCrash(digest, shard.service(), server, incarnation, nowMillis);
        }
        if (processes == 0) {
            return;
        }
        boolean isCandidate = fleet.view().ownerCandidates(shard).stream().anyMatch(peerTransport::isSelf);
        if (processes >= FatalRequests.SUSPECTED_PROCESSES) {
            LOGGER.atInfo().log(
                    "request %s for %s broke the connections of %d server processes, the last one %s%s",
                    digest.shortText(),
                    shard.service(),
                    processes,
                    server,
                    isCandidate ? "" : "; this daemon schedules it without an owner");
        }
        if (!isCandidate || processes >= FatalRequests.FATAL_PROCESSES) {
            sendChanges(nowMillis, 1, this::otherProxies);
        } else if (processes >= FatalRequests.SUSPECTED_PROCESSES) {
            sendChanges(nowMillis, FatalRequests.SUSPECTED_PROCESSES, this::otherCandidates);
        }
        if (processes >= FatalRequests.FATAL_PROCESSES) {
            repeatChanges(nowMillis, FIRST_REPEAT_MILLIS);
        }
    }

    /** Records as {@link FatalRequests#recordEnd} does. */
    synchronized void recordEnd(RequestDigest digest, boolean answered) {
        fatalRequests.recordEnd(digest, answered, MonotonicClock.millis());
    }

    /** Records as {@link FatalRequests#recordLivingServer} does. */
    synchronized void recordLivingServer(String server, long incarnation, long attemptStartMillis) {
        fatalRequests.recordLivingServer(server, incarnation, attemptStartMillis, MonotonicClock.millis());
    }

    /** Adds what other daemons observed. */
    synchronized void merge(List<SuspectedRequest> requests) {
        requests.forEach(request -> fatalRequests.merge(request, MonotonicClock.millis()));
    }

    /** Returns what this daemon knows about suspected requests for a service. */
    synchronized List<SuspectedRequest> suspects(String service) {
        return fatalRequests
                .changedSince(Long.MIN_VALUE, FatalRequests.SUSPECTED_PROCESSES, MonotonicClock.millis())
                .stream()
                .filter(request -> request.service().equals(service))
                .limit(MAXIMUM_REQUESTS_IN_MESSAGE)
                .toList();
    }

    /** Asks the other candidates of a shard that this daemon begins to own; does not wait for their replies. */
    void fetchSuspects(ShardKey shard) {
        for (Instance candidate : fleet.view().ownerCandidates(shard)) {
            if (!peerTransport.isSelf(candidate)) {
                callInBackground(
                        candidate,
                        "suspects",
                        () -> merge(peerTransport.call(
                                candidate,
                                "suspects",
                                CALL_TIMEOUT_MILLIS,
                                PeerCall.withResultIfUnknown(
                                        client -> PeerMessageConverter.toSuspectedRequests(
                                                client.suspects(shard.service())),
                                        List.of()))));
            }
        }
    }

    private synchronized int countFatal() {
        return fatalRequests.countFatal();
    }

    /** Sends the requests that changed since a time and broke the connections of a number of processes. */
    private void sendChanges(
            long sinceMillis, int minimumProcesses, Function<List<SuspectedRequest>, Set<Instance>> recipients) {
        List<SuspectedRequest> changes;
        synchronized (this) {
            changes = fatalRequests.changedSince(sinceMillis, minimumProcesses, MonotonicClock.millis()).stream()
                    .limit(MAXIMUM_REQUESTS_IN_MESSAGE)
                    .toList();
        }
        if (changes.isEmpty()) {
            return;
        }
        for (Instance recipient : recipients.apply(changes)) {
            callInBackground(recipient, "record-suspects", () -> send(recipient, changes));
        }
    }

    /** Sends fatal requests again after a delay, and then after twice that delay. */
    private void repeatChanges(long sinceMillis, long delayMillis) {
        if (delayMillis > LAST_REPEAT_MILLIS) {
            return;
        }
        timer.schedule(
                () -> {
                    try {
                        sendChanges(sinceMillis, FatalRequests.FATAL_PROCESSES, this::otherCandidates);
                    } catch (RuntimeException | Error failure) {
                        BackgroundTasks.recordFailure("fatal-requests", failure);
                    }
                    repeatChanges(sinceMillis, 2 * delayMillis);
                },
                delayMillis,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Tells a peer about suspected requests and waits for its reply.
     *
     * @param peer the peer
     * @param requests the requests
     * @throws CassiabankException if the peer does not answer
     */
    void send(Instance peer, List<SuspectedRequest> requests) {
        PeerCall<Boolean> call = client -> {
            client.recordSuspects(
                    requests.stream().map(PeerMessageConverter::toMessage).toList());
            return true;
        };
        peerTransport.call(peer, "record-suspects", CALL_TIMEOUT_MILLIS, PeerCall.withResultIfUnknown(call, false));
    }

    /** Returns the other daemons of the region, whatever the requests are. */
    private Set<Instance> otherProxies(List<SuspectedRequest> requests) {
        Set<Instance> proxies = new HashSet<>(fleet.view().regionProxies());
        proxies.removeIf(peerTransport::isSelf);
        return proxies;
    }

    /** Returns the other daemons that may own a shard of the services of some requests. */
    private Set<Instance> otherCandidates(List<SuspectedRequest> requests) {
        FleetView view = fleet.view();
        Set<Instance> candidates = new HashSet<>();
        requests.stream().map(SuspectedRequest::service).distinct().forEach(service -> {
            view.division(service)
                    .shards()
                    .forEach(shard -> candidates.addAll(view.ownerCandidates(new ShardKey(service, shard.number()))));
        });
        candidates.removeIf(peerTransport::isSelf);
        return candidates;
    }

    private void callInBackground(Instance peer, String kind, Runnable call) {
        workers.execute(() -> {
            try {
                call.run();
            } catch (CassiabankException exception) {
                LOGGER.atFine().withCause(exception).log("%s did not answer %s", peer.name(), kind);
            } catch (RuntimeException | Error failure) {
                BackgroundTasks.recordFailure("fatal-requests", failure);
            }
        });
    }
}
