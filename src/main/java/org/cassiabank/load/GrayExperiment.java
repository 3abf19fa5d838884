package org.cassiabank.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Switches gray faults on one server after the other and then on all of them.
 */
final class GrayExperiment implements Experiment {
    private static final int SERVERS = 8;
    private static final int SLOTS = 2;
    private static final double WORK_MILLIS = 10;
    private static final double RATE_PER_SERVER = 20;
    private static final long RECOVERY_LIMIT_MILLIS = 15_000;
    private static final long BUDGET_MILLIS = 5_000;
    private static final Map<String, String> FAULTS = Map.of(
            "fails half of its work", "{\"fail\": 0.5, \"lie\": true}",
            "is 10 times slower", "{\"slow\": 1, \"slowFactor\": 10, \"lie\": true}",
            "stalls half of its work", "{\"stall\": 0.5, \"lie\": true}",
            "cuts half of its answers", "{\"cut\": 0.5, \"lie\": true}",
            "gives half wrong answers", "{\"wrongAnswer\": 0.5, \"lie\": true}");

    @Override
    public String name() {
        return "gray";
    }

    @Override
    public String summary() {
        return "detection time, wrong ejections, load on servers under a failing service";
    }

    @Override
    public ExperimentResult run(ExperimentSettings settings) throws InterruptedException {
        FleetService service = FleetService.kitchen(SERVERS, SLOTS);
        RequestKind kind = RequestKind.shortRead(WORK_MILLIS);
        double rate = RATE_PER_SERVER * SERVERS;
        LoadSettings sending = LoadSettings.of("gray" + settings.seed()).withDeadline(2_000);
        List<Measure> measures = new ArrayList<>();
        List<String> notes = Collections.synchronizedList(new ArrayList<>());
        try (Fleet fleet = Fleet.start(FleetSettings.of(settings.seed(), settings.proxies(), service));
                LoadBalancer balancer = fleet.balanceProxies()) {
            Warmup.run(balancer, sending, settings.seed(), rate, List.of(kind));
            Set<String> wrong = new TreeSet<>();
            Set<String> recovering = new TreeSet<>();
            Samples quiet = send(settings, balancer, sending, kind, rate, settings.seconds() * 1_000L);
            wrong.addAll(FleetStatus.unhealthy(fleet));
            measures.addAll(Measures.ofClasses(quiet));
            int server = 0;
            for (String fault : new TreeSet<>(FAULTS.keySet())) {
                // The first faults of the table are those of the target; the others are reported.
                boolean isTarget = fault.startsWith("fails") || fault.startsWith("is 10");
                FleetMember faulty = fleet.backends().get(server);
                double detected = detect(settings, fleet, balancer, sending, faulty, fault, wrong, recovering, notes);
                String name = "detect a server that " + fault;
                measures.add(isTarget ? Measure.atMost(name, detected, "ms", 2_000) : Measure.of(name, detected, "ms"));
                recovering.add(faulty.name());
                notes.add("after that: retries " + FleetStatus.sumByLabels(fleet, "cassiabank_retries_total")
                        + ", attempts " + FleetStatus.sumByLabels(fleet, "cassiabank_attempts_total"));
                server++;
            }
            measures.add(Measure.atMost("healthy servers not counted as healthy", wrong.size(), "", 0));
            notes.addAll(wrong.stream().map(name -> "wrongly ejected: " + name).toList());
            measures.add(amplification(settings, fleet, balancer, sending, kind, rate));
        }
        return new ExperimentResult(
                SERVERS + " servers with " + SLOTS + " slots, " + RATE_PER_SERVER + " requests/s to each, work "
                        + WORK_MILLIS + " ms; one run instead of 1,000",
                measures,
                List.of(),
                notes);
    }

    private static Samples send(
            ExperimentSettings settings,
            LoadBalancer balancer,
            LoadSettings sending,
            RequestKind kind,
            double rate,
            long millis)
            throws InterruptedException {
        ArrivalSchedule schedule =
                ArrivalSchedule.draw(settings.seed(), 20, List.of(Phase.of("gray", millis, rate, kind)));
        return LoadRunner.create(balancer, sending.withRun(sending.run() + "-" + System.nanoTime()))
                .run(schedule, FaultScript.none());
    }

    /** Returns the time from the fault until a proxy reports the server as unhealthy, in milliseconds. */
    private static double detect(
            ExperimentSettings settings,
            Fleet fleet,
            LoadBalancer balancer,
            LoadSettings sending,
            FleetMember server,
            String fault,
            Set<String> wrong,
            Set<String> recovering,
            List<String> notes)
            throws InterruptedException {
        AtomicReference<Double> detected = new AtomicReference<>(Double.NaN);
        Thread watcher = Thread.ofPlatform().name("detection").start(() -> {
            String url = server.controlUrl() + "/control/faults";
            try {
                Thread.sleep(1_000);
                long receivedBefore = FleetStatus.received(fleet, List.of(server));
                fleet.client().send("POST", url, FAULTS.get(fault));
                long start = System.nanoTime();
                boolean recovered = false;
                while (!recovered && System.nanoTime() - start < RECOVERY_LIMIT_MILLIS * 1_000_000) {
                    Set<String> unhealthy = FleetStatus.unhealthy(fleet);
                    if (Double.isNaN(detected.get()) && unhealthy.contains(server.name())) {
                        detected.set((System.nanoTime() - start) / 1e6);
                        long received = FleetStatus.received(fleet, List.of(server)) - receivedBefore;
                        notes.add(server.name() + ", which " + fault + ", received " + received
                                + " requests until it was detected");
                        fleet.client().send("POST", url, "{}");
                    }
                    recovered = !Double.isNaN(detected.get()) && !unhealthy.contains(server.name());
                    unhealthy.stream()
                            .filter(name -> !name.equals(server.name()))
                            .forEach(wrong::add);
                    Thread.sleep(20);
                }
                if (Double.isNaN(detected.get())) {
                    long received = FleetStatus.received(fleet, List.of(server)) - receivedBefore;
                    notes.add(server.name() + ", which " + fault + ", received " + received + " requests in "
                            + RECOVERY_LIMIT_MILLIS + " ms and was not detected");
                }
                fleet.client().send("POST", url, "{}");
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        });
        // The load must last until the server is back, because readmission needs traffic.
        while (watcher.isAlive()) {
            send(settings, balancer, sending, RequestKind.shortRead(WORK_MILLIS), RATE_PER_SERVER * SERVERS, 2_000);
        }
        return detected.get();
    }

    private static Measure amplification(
            ExperimentSettings settings,
            Fleet fleet,
            LoadBalancer balancer,
            LoadSettings sending,
            RequestKind kind,
            double rate)
            throws InterruptedException {
        for (FleetMember backend : fleet.backends()) {
            fleet.client().send("POST", backend.controlUrl() + "/control/faults", "{\"fail\": 0.8, \"lie\": true}");
        }
        // The bound holds for periods that start with empty retry budgets, so the budgets are spent first.
        send(settings, balancer, sending, kind, rate, BUDGET_MILLIS);
        long before = FleetStatus.received(fleet, fleet.backends());
        Samples failing = send(settings, balancer, sending, kind, rate, settings.seconds() * 1_000L);
        long after = FleetStatus.received(fleet, fleet.backends());
        return Measure.atMost(
                "load on servers over callers' load, all servers fail 80%",
                (after - before) / (double) failing.size(), "", 1.1);
    }
}
