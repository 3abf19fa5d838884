package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Sends unrepeatable requests under faults of servers, proxies and the store, and counts executions in the journals.
 */
final class DoublesExperiment implements Experiment {
    private static final int SERVERS = 8;
    private static final int SLOTS = 6;
    private static final double WORK_MILLIS = 5;
    private static final double RATE = 400;
    private static final long FAULT_INTERVAL_MILLIS = 1_500;
    private static final long PAUSE_MILLIS = 1_200;
    private static final int FULL_COUNT = 100_000;
    private static final List<String> SERVER_FAULTS = List.of(
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
        FleetService service = FleetService.kitchen(SERVERS, SLOTS);
        List<Phase.Share> mix = List.of(
                new Phase.Share(RequestKind.order(WORK_MILLIS), 0.9),
                new Phase.Share(RequestKind.shortRead(WORK_MILLIS), 0.1));
        long millis = settings.seconds() * 1_000L;
        ArrivalSchedule schedule =
                ArrivalSchedule.draw(settings.seed(), 50, List.of(new Phase("faults", millis, RATE, mix)));
        LoadSettings sending =
                LoadSettings.of("doubles" + settings.seed()).withDeadline(2_000).withRepeats(2);
        FleetSettings fleetSettings = FleetSettings.of(settings.seed(), settings.proxies(), service);
        try (Fleet fleet = Fleet.start(fleetSettings);
                LoadBalancer balancer = fleet.balanceProxies()) {
            Warmup.run(balancer, sending, settings.seed(), RATE / 2, List.of(RequestKind.order(WORK_MILLIS)));
            List<String> log = new ArrayList<>();
            FaultScript script = script(settings.seed(), fleet, millis, log);
            Samples samples = LoadRunner.create(balancer, sending).run(schedule, script);
            RecordCheck check = RecordCheck.of(samples, fleet.executions());
            List<Measure> measures = new ArrayList<>(Measures.ofClasses(samples));
            measures.addAll(check.measures());
            Samples orders = samples.ofKind("order").where(sample -> sample.attempt() == 0);
            measures.add(Measure.of(
                    "orders answered at the first attempt",
                    orders.of(AnswerClass.ANSWERED).size() / (double) orders.size(),
                    ""));
            List<String> notes = new ArrayList<>(Measures.reasons(samples));
            notes.addAll(check.notes());
            notes.add("faults: " + String.join("; ", log));
            return new ExperimentResult(
                    String.format(
                            "%d servers with %d slots, %.0f requests/s, %d unrepeatable requests instead of %d",
                            SERVERS, SLOTS, RATE, check.unrepeatable(), FULL_COUNT),
                    measures,
                    List.of(Measures.rateSeries("answers/s", samples, AnswerClass.ANSWERED)),
                    notes);
        }
    }

    /** Draws faults at fixed intervals; the last fifth of the run is without new ones. */
    private static FaultScript script(long seed, Fleet fleet, long millis, List<String> log) {
        SplittableRandom random = new SplittableRandom(seed + 7);
        List<FaultScript.Step> steps = new ArrayList<>();
        boolean storeIsDown = false;
        for (long at = 500; at < millis * 4 / 5; at += FAULT_INTERVAL_MILLIS) {
            FleetMember backend = fleet.backends().get(random.nextInt(SERVERS));
            FleetMember proxy =
                    fleet.proxies().get(random.nextInt(fleet.proxies().size()));
            switch (random.nextInt(8)) {
                case 0 -> addPause(steps, log, at, proxy);
                case 1 -> addPause(steps, log, at, backend);
                case 2 -> addKill(steps, log, at, fleet, proxy);
                case 3 -> addKill(steps, log, at, fleet, backend);
                case 4 -> {
                    storeIsDown = !storeIsDown;
                    log.add(at + " ms store " + (storeIsDown ? "down" : "up"));
                    steps.add(new FaultScript.Step(
                            at,
                            new FaultScript.Post(
                                    fleet.platformUrl() + "/control/faults", "{\"outage\": " + storeIsDown + "}")));
                }
                default -> {
                    String fault = SERVER_FAULTS.get(random.nextInt(SERVER_FAULTS.size()));
                    log.add(at + " ms " + backend.name() + " " + fault.replace("\"", ""));
                    // A server that is paused or being restarted does not answer; the next fault may reach it.
                    steps.add(call(
                            at, () -> fleet.client().send("POST", backend.controlUrl() + "/control/faults", fault)));
                }
            }
        }
        steps.add(call(millis * 4 / 5 + PAUSE_MILLIS, () -> {
            for (FleetMember backend : fleet.backends()) {
                fleet.client().send("POST", backend.controlUrl() + "/control/faults", "{}");
            }
        }));
        return new FaultScript(steps);
    }

    private static void addPause(List<FaultScript.Step> steps, List<String> log, long at, FleetMember member) {
        log.add(at + " ms pause " + member.name());
        steps.add(call(at, () -> member.process().sendSignal("STOP")));
        steps.add(call(at + PAUSE_MILLIS, () -> member.process().sendSignal("CONT")));
    }

    private static void addKill(
            List<FaultScript.Step> steps, List<String> log, long at, Fleet fleet, FleetMember member) {
        log.add(at + " ms kill " + member.name());
        // The restart takes seconds and must not delay the next steps.
        steps.add(call(at, () -> Thread.startVirtualThread(() -> fleet.killAndRestart(member))));
    }

    private static FaultScript.Step call(long at, Runnable action) {
        return new FaultScript.Step(at, new FaultScript.Call(action));
    }
}
