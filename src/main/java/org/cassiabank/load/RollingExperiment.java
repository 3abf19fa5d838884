package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Consumer;
import org.cassiabank.membership.InstanceState;

/**
 * Stops and starts each backend server and each proxy in turn under load.
 */
final class RollingExperiment implements Experiment {
    private static final int SERVERS = 8;
    private static final int SLOTS = 2;
    private static final double WORK_MILLIS = 20;
    private static final double RATE = 150;
    private static final long LEAVING_LIMIT_MILLIS = 3_000;
    private static final long LONGEST_MILLIS = 1_200_000;
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
        FleetService service = FleetService.kitchen(SERVERS, SLOTS);
        List<Phase.Share> mix = List.of(
                new Phase.Share(RequestKind.shortRead(WORK_MILLIS), 0.83),
                new Phase.Share(RequestKind.longRead(WORK_MILLIS * 25), 0.02),
                new Phase.Share(RequestKind.order(WORK_MILLIS), 0.15));
        FleetSettings fleetSettings = FleetSettings.of(settings.seed(), settings.proxies(), service)
                .withBackendArguments("--linger-millis", Long.toString(LINGER_MILLIS));
        try (Fleet fleet = Fleet.start(fleetSettings);
                LoadBalancer balancer = fleet.balanceProxies()) {
            LoadSettings sending = LoadSettings.of("rolling" + settings.seed());
            List<RequestKind> kinds = mix.stream().map(Phase.Share::kind).toList();
            Warmup.run(balancer, sending, settings.seed(), RATE, kinds);
            Map<String, Long> lateWork = new ConcurrentSkipListMap<>();
            Map<String, Integer> exitCodes = new ConcurrentSkipListMap<>();
            Map<Long, String> log = new ConcurrentSkipListMap<>();
            long start = System.nanoTime();
            Thread restarts = Thread.ofPlatform().name("restarts").start(() -> {
                try {
                    restartAll(
                            fleet, lateWork, exitCodes, name -> log.put((System.nanoTime() - start) / 1_000_000, name));
                } catch (InterruptedException exception) {
                    Thread.currentThread().interrupt();
                }
            });
            // The load lasts until all members were restarted.
            ArrivalSchedule schedule =
                    ArrivalSchedule.draw(settings.seed(), 20, List.of(new Phase("rolling", LONGEST_MILLIS, RATE, mix)));
            Samples samples =
                    LoadRunner.create(balancer, sending).run(schedule, FaultScript.none(), () -> !restarts.isAlive());
            return result(samples, RecordCheck.of(samples, fleet.executions()), lateWork, exitCodes, log, fleet);
        }
    }

    private static ExperimentResult result(
            Samples samples,
            RecordCheck check,
            Map<String, Long> lateWork,
            Map<String, Integer> exitCodes,
            Map<Long, String> log,
            Fleet fleet) {
        Samples interrupted = samples.where(sample -> sample.answerClass().isInterrupted());
        List<Measure> measures = new ArrayList<>(Measures.ofClasses(samples));
        measures.add(Measure.atMost("work interrupted", interrupted.size(), "", 0));
        measures.addAll(check.measures());
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
                lateWork.values().stream().mapToLong(Long::longValue).sum(),
                "",
                0));
        List<String> notes = new ArrayList<>(Measures.reasons(samples));
        notes.add("restarts in ms: " + log);
        notes.add("exit codes: " + new TreeMap<>(exitCodes));
        interrupted.all().stream()
                .limit(10)
                .forEach(sample -> notes.add("interrupted: " + sample.token() + " "
                        + sample.arrival().kind().name() + " " + sample.answerClass() + " " + sample.status() + " "
                        + sample.reason() + " after " + sample.latencyNanos() / 1_000_000 + " ms"));
        notes.addAll(check.notes());
        return new ExperimentResult(
                SERVERS + " servers with " + SLOTS + " slots, " + RATE + " requests/s, work " + WORK_MILLIS
                        + " ms, long work 25 times longer",
                measures,
                List.of(Measures.latencySeries("p99 in ms", samples, 99)),
                notes);
    }

    private static void restartAll(
            Fleet fleet, Map<String, Long> lateWork, Map<String, Integer> exitCodes, Consumer<String> log)
            throws InterruptedException {
        for (FleetMember backend : fleet.backends()) {
            backend.state(InstanceState.LEAVING);
            fleet.publishInstances();
            Thread counter = Thread.startVirtualThread(() -> countLateWork(fleet, backend, lateWork));
            log.accept("stop " + backend.name());
            exitCodes.put(backend.name(), fleet.restart(backend));
            log.accept("ready " + backend.name());
            counter.join();
            backend.state(InstanceState.LIVE);
            fleet.publishInstances();
            Thread.sleep(500);
        }
        for (FleetMember proxy : fleet.proxies()) {
            log.accept("stop " + proxy.name());
            exitCodes.put(proxy.name(), fleet.restart(proxy));
            log.accept("ready " + proxy.name());
            // The load balancer checks every 250 ms, and the new process compiles its code.
            Thread.sleep(2_000);
        }
    }

    private static void countLateWork(Fleet fleet, FleetMember backend, Map<String, Long> lateWork) {
        try {
            Thread.sleep(LEAVING_LIMIT_MILLIS);
            long atLimit = FleetStatus.received(fleet, List.of(backend));
            Thread.sleep(LINGER_MILLIS - LEAVING_LIMIT_MILLIS - 700);
            lateWork.put(backend.name(), FleetStatus.received(fleet, List.of(backend)) - atLimit);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
