package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The experiment {@code doubles}: sends unrepeatable requests during faults of backend servers, proxies and the store,
 * and counts the executions in the journals of the servers.
 */
final class DuplicateExecutionExperiment implements Experiment {
    private static final int SERVER_COUNT = 8;
    private static final int SLOTS_PER_SERVER = 6;
    private static final double WORK_MILLIS = 5;
    private static final double REQUESTS_PER_SECOND = 400;
    private static final long FAULT_INTERVAL_MILLIS = 1_500;
    private static final long PROCESS_PAUSE_MILLIS = 1_200;
    private static final int INTENDED_REQUEST_COUNT = 100_000;
    private static final List<String> BACKEND_FAULTS = List.of(
            "{\"cut\": 0.3, \"lie\": true}",
            "{\"stall\": 0.2, \"lie\": true}",
            "{\"wrongAnswer\": 0.3, \"lie\": true}",
            "{\"fail\": 0.3, \"lie\": true}",
            "{\"slow\": 0.5, \"slowFactor\": 20, \"lie\": true}",
            "{\"silence\": true, \"lie\": true}",
            "{\"shed\": 0.5, \"lie\": true}",
            "{\"cut\": 0.2, \"stall\": 0.1, \"wrongAnswer\": 0.1, \"flapMillis\": 500, \"lie\": true}");

    @Override
    public String name() {
        return "doubles";
    }

    @Override
    public String summary() {
        return "unrepeatable requests under faults, checked against the servers' journals";
    }

    @Override
    public ExperimentResult run(ExperimentSettings settings) throws InterruptedException {
        FleetService service = FleetService.kitchen(SERVER_COUNT, SLOTS_PER_SERVER);
        List<Phase.Share> mix = List.of(
                new Phase.Share(RequestKind.order(WORK_MILLIS), 0.9),
                new Phase.Share(RequestKind.shortRead(WORK_MILLIS), 0.1));
        long durationMillis = settings.durationSeconds() * 1_000L;
        ArrivalSchedule schedule = ArrivalSchedule.draw(
                settings.seed(), 50, List.of(new Phase("faults", durationMillis, REQUESTS_PER_SECOND, mix)));
        LoadSettings loadSettings = LoadSettings.of("doubles" + settings.seed())
                .withDeadlineMillis(2_000)
                .withMaximumRepeats(2);
        FleetSettings fleetSettings = FleetSettings.of(settings.seed(), settings.proxyCount(), service);
        try (Fleet fleet = Fleet.start(fleetSettings);
                LoadBalancer balancer = fleet.startProxyBalancer()) {
            Warmup.run(
                    balancer,
                    loadSettings,
                    settings.seed(),
                    REQUESTS_PER_SECOND / 2,
                    List.of(RequestKind.order(WORK_MILLIS)));
            List<String> faultLog = new ArrayList<>();
            FaultScript script = drawFaultScript(settings.seed(), fleet, durationMillis, faultLog);
            Samples samples = LoadRunner.create(balancer, loadSettings).run(schedule, script);
            ExecutionCheck executionCheck = ExecutionCheck.of(samples, fleet.countExecutions());
            List<Measure> measures = new ArrayList<>(Measures.ofOutcomes(samples));
            measures.addAll(executionCheck.measures());
            Samples firstOrders = samples.ofKind("order").where(sample -> sample.repeatNumber() == 0);
            measures.add(Measure.of(
                    "orders answered at the first attempt",
                    firstOrders.withOutcome(ObservedOutcome.ANSWERED).size() / (double) firstOrders.size(),
                    ""));
            List<String> notes = new ArrayList<>(Measures.describeReasons(samples));
            notes.addAll(executionCheck.notes());
            notes.add("faults: " + String.join("; ", faultLog));
            return new ExperimentResult(
                    String.format(
                            "%d servers with %d slots, %.0f requests/s, %d unrepeatable requests instead of %d",
                            SERVER_COUNT,
                            SLOTS_PER_SERVER,
                            REQUESTS_PER_SECOND,
                            executionCheck.unrepeatableCount(),
                            INTENDED_REQUEST_COUNT),
                    measures,
                    List.of(Measures.rateSeries("answers/s", samples, ObservedOutcome.ANSWERED)),
                    notes);
        }
    }

    /** Draws a random fault for each interval; no new faults start in the last fifth of the run. */
    private static FaultScript drawFaultScript(long seed, Fleet fleet, long durationMillis, List<String> faultLog) {
        SplittableRandom random = new SplittableRandom(seed + 7);
        List<FaultScript.Step> steps = new ArrayList<>();
        boolean storeIsDown = false;
        for (long offsetMillis = 500; offsetMillis < durationMillis * 4 / 5; offsetMillis += FAULT_INTERVAL_MILLIS) {
            FleetMember backend = fleet.backends().get(random.nextInt(SERVER_COUNT));
            FleetMember proxy =
                    fleet.proxies().get(random.nextInt(fleet.proxies().size()));
            switch (random.nextInt(8)) {
                case 0 -> addPause(steps, faultLog, offsetMillis, proxy);
                case 1 -> addPause(steps, faultLog, offsetMillis, backend);
                case 2 -> addKillAndRestart(steps, faultLog, offsetMillis, fleet, proxy);
                case 3 -> addKillAndRestart(steps, faultLog, offsetMillis, fleet, backend);
                case 4 -> {
                    storeIsDown = !storeIsDown;
                    faultLog.add(offsetMillis + " ms store " + (storeIsDown ? "down" : "up"));
                    steps.add(new FaultScript.Step(
                            offsetMillis,
                            new FaultScript.PostRequest(
                                    fleet.platformUrl() + "/control/faults", "{\"outage\": " + storeIsDown + "}")));
                }
                default -> {
                    String fault = BACKEND_FAULTS.get(random.nextInt(BACKEND_FAULTS.size()));
                    faultLog.add(offsetMillis + " ms " + backend.name() + " " + fault.replace("\"", ""));
                    // The response is ignored: a server that is paused or being restarted does not respond, and a later
                    // fault may reach it.
                    steps.add(codeStep(offsetMillis, () -> fleet.adminClient()
                            .send("POST", backend.controlUrl() + "/control/faults", fault)));
                }
            }
        }
        steps.add(codeStep(durationMillis * 4 / 5 + PROCESS_PAUSE_MILLIS, () -> {
            for (FleetMember backend : fleet.backends()) {
                fleet.adminClient().send("POST", backend.controlUrl() + "/control/faults", "{}");
            }
        }));
        return new FaultScript(steps);
    }

    private static void addPause(
            List<FaultScript.Step> steps, List<String> faultLog, long offsetMillis, FleetMember member) {
        faultLog.add(offsetMillis + " ms pause " + member.name());
        steps.add(codeStep(offsetMillis, () -> member.process().sendSignal("STOP")));
        steps.add(codeStep(
                offsetMillis + PROCESS_PAUSE_MILLIS, () -> member.process().sendSignal("CONT")));
    }

    private static void addKillAndRestart(
            List<FaultScript.Step> steps, List<String> faultLog, long offsetMillis, Fleet fleet, FleetMember member) {
        faultLog.add(offsetMillis + " ms kill " + member.name());
        // The restart takes seconds and runs on its own thread, so that it does not delay the next steps.
        steps.add(codeStep(offsetMillis, () -> Thread.startVirtualThread(() -> fleet.killAndRestart(member))));
    }

    private static FaultScript.Step codeStep(long offsetMillis, Runnable action) {
        return new FaultScript.Step(offsetMillis, new FaultScript.RunCode(action));
    }
}
