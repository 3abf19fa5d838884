package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Consumer;
import org.cassiabank.membership.InstanceState;

/**
 * The experiment {@code rolling}: gracefully restarts each backend server and each proxy in turn under load. No request
 * may fail, and servers may not receive requests later than 3 s after they are announced as leaving.
 */
final class RollingRestartExperiment implements Experiment {
    private static final int SERVER_COUNT = 8;
    private static final int SLOTS_PER_SERVER = 2;
    private static final double WORK_MILLIS = 20;
    private static final double REQUESTS_PER_SECOND = 150;
    private static final long LEAVING_LIMIT_MILLIS = 3_000;
    private static final long LOAD_LIMIT_MILLIS = 1_200_000;
    private static final long LINGER_MILLIS = 4_500;

    @Override
    public String name() {
        return "rolling";
    }

    @Override
    public String summary() {
        return "graceful stop of every server and proxy in turn";
    }

    @Override
    public ExperimentResult run(ExperimentSettings settings) throws InterruptedException {
        FleetService service = FleetService.kitchen(SERVER_COUNT, SLOTS_PER_SERVER);
        List<Phase.Share> mix = List.of(
                new Phase.Share(RequestKind.shortRead(WORK_MILLIS), 0.83),
                new Phase.Share(RequestKind.longRead(WORK_MILLIS * 25), 0.02),
                new Phase.Share(RequestKind.order(WORK_MILLIS), 0.15));
        FleetSettings fleetSettings = FleetSettings.of(settings.seed(), settings.proxyCount(), service)
                .withBackendArguments("--linger-millis", Long.toString(LINGER_MILLIS));
        try (Fleet fleet = Fleet.start(fleetSettings);
                LoadBalancer balancer = fleet.startProxyBalancer()) {
            LoadSettings loadSettings = LoadSettings.of("rolling" + settings.seed());
            List<RequestKind> kinds = mix.stream().map(Phase.Share::kind).toList();
            Warmup.run(balancer, loadSettings, settings.seed(), REQUESTS_PER_SECOND, kinds);
            Map<String, Long> lateRequests = new ConcurrentSkipListMap<>();
            Map<String, Integer> exitCodes = new ConcurrentSkipListMap<>();
            Map<Long, String> eventLog = new ConcurrentSkipListMap<>();
            long startNanos = System.nanoTime();
            Thread restartThread = Thread.ofPlatform().name("restarts").start(() -> {
                try {
                    restartAll(
                            fleet,
                            lateRequests,
                            exitCodes,
                            name -> eventLog.put((System.nanoTime() - startNanos) / 1_000_000, name));
                } catch (InterruptedException exception) {
                    Thread.currentThread().interrupt();
                }
            });
            // The load continues until all members have been restarted.
            ArrivalSchedule schedule = ArrivalSchedule.draw(
                    settings.seed(), 20, List.of(new Phase("rolling", LOAD_LIMIT_MILLIS, REQUESTS_PER_SECOND, mix)));
            Samples samples = LoadRunner.create(balancer, loadSettings)
                    .run(schedule, FaultScript.empty(), () -> !restartThread.isAlive());
            return createResult(
                    samples,
                    ExecutionCheck.of(samples, fleet.countExecutions()),
                    lateRequests,
                    exitCodes,
                    eventLog,
                    fleet);
        }
    }

    private static ExperimentResult createResult(
            Samples samples,
            ExecutionCheck executionCheck,
            Map<String, Long> lateRequests,
            Map<String, Integer> exitCodes,
            Map<Long, String> eventLog,
            Fleet fleet) {
        Samples interrupted = samples.where(sample -> sample.outcome().isInterrupted());
        List<Measure> measures = new ArrayList<>(Measures.ofOutcomes(samples));
        measures.add(Measure.atMost("work interrupted", interrupted.size(), "", 0));
        measures.addAll(executionCheck.measures());
        measures.add(Measure.atLeast(
                "members restarted",
                exitCodes.size(),
                "",
                fleet.backends().size() + fleet.proxies().size()));
        measures.add(Measure.atMost(
                "members that did not exit with 0",
                exitCodes.values().stream().filter(code -> code != 0).count(),
                "",
                0));
        measures.add(Measure.atMost(
                "requests received by leaving servers after 3 s",
                lateRequests.values().stream().mapToLong(Long::longValue).sum(),
                "",
                0));
        List<String> notes = new ArrayList<>(Measures.describeReasons(samples));
        notes.add("restarts in ms: " + eventLog);
        notes.add("exit codes: " + new TreeMap<>(exitCodes));
        interrupted.all().stream()
                .limit(10)
                .forEach(sample -> notes.add("interrupted: " + sample.token() + " "
                        + sample.arrival().kind().name() + " " + sample.outcome() + " " + sample.httpStatus() + " "
                        + sample.reason() + " after " + sample.latencyNanos() / 1_000_000 + " ms"));
        notes.addAll(executionCheck.notes());
        return new ExperimentResult(
                SERVER_COUNT + " servers with " + SLOTS_PER_SERVER + " slots, " + REQUESTS_PER_SECOND
                        + " requests/s, work " + WORK_MILLIS + " ms, long work 25 times longer",
                measures,
                List.of(Measures.latencySeries("p99 in ms", samples, 99)),
                notes);
    }

    private static void restartAll(
            Fleet fleet, Map<String, Long> lateRequests, Map<String, Integer> exitCodes, Consumer<String> eventLog)
            throws InterruptedException {
        for (FleetMember backend : fleet.backends()) {
            backend.setListedState(InstanceState.LEAVING);
            fleet.publishInstances();
            Thread counterThread = Thread.startVirtualThread(() -> countLateRequests(fleet, backend, lateRequests));
            eventLog.accept("stop " + backend.name());
            exitCodes.put(backend.name(), fleet.restart(backend));
            eventLog.accept("ready " + backend.name());
            counterThread.join();
            backend.setListedState(InstanceState.LIVE);
            fleet.publishInstances();
            Thread.sleep(500);
        }
        for (FleetMember proxy : fleet.proxies()) {
            eventLog.accept("stop " + proxy.name());
            exitCodes.put(proxy.name(), fleet.restart(proxy));
            eventLog.accept("ready " + proxy.name());
            // The load balancer checks health every 250 ms, and the new process first compiles its code.
            Thread.sleep(2_000);
        }
    }

    private static void countLateRequests(Fleet fleet, FleetMember backend, Map<String, Long> lateRequests) {
        try {
            Thread.sleep(LEAVING_LIMIT_MILLIS);
            long receivedAtLimit = FleetStatus.receivedRequests(fleet, List.of(backend));
            Thread.sleep(LINGER_MILLIS - LEAVING_LIMIT_MILLIS - 700);
            lateRequests.put(backend.name(), FleetStatus.receivedRequests(fleet, List.of(backend)) - receivedAtLimit);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
