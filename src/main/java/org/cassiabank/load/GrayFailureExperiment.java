package org.cassiabank.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The experiment {@code gray}: causes gray failures on one backend server after the other and measures the time until
 * they are detected, then makes all servers fail and measures the load that retries add.
 */
final class GrayFailureExperiment implements Experiment {
    private static final int SERVER_COUNT = 8;
    private static final int SLOTS_PER_SERVER = 2;
    private static final double WORK_MILLIS = 10;
    private static final double SERVER_REQUESTS_PER_SECOND = 20;
    private static final long OBSERVATION_LIMIT_MILLIS = 15_000;
    private static final long BUDGET_DEPLETION_MILLIS = 5_000;
    private static final Map<String, String> FAULTS_BY_DESCRIPTION = Map.of(
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
        FleetService service = FleetService.kitchen(SERVER_COUNT, SLOTS_PER_SERVER);
        RequestKind kind = RequestKind.shortRead(WORK_MILLIS);
        double requestsPerSecond = SERVER_REQUESTS_PER_SECOND * SERVER_COUNT;
        LoadSettings loadSettings = LoadSettings.of("gray" + settings.seed()).withDeadlineMillis(2_000);
        List<Measure> measures = new ArrayList<>();
        List<String> notes = Collections.synchronizedList(new ArrayList<>());
        try (Fleet fleet = Fleet.start(FleetSettings.of(settings.seed(), settings.proxyCount(), service));
                LoadBalancer balancer = fleet.startProxyBalancer()) {
            Warmup.run(balancer, loadSettings, settings.seed(), requestsPerSecond, List.of(kind));
            Set<String> wronglyEjected = new TreeSet<>();
            Set<String> recovering = new TreeSet<>();
            Samples faultless = send(
                    settings, balancer, loadSettings, kind, requestsPerSecond, settings.durationSeconds() * 1_000L);
            wronglyEjected.addAll(FleetStatus.unhealthyServers(fleet));
            measures.addAll(Measures.ofOutcomes(faultless));
            int serverIndex = 0;
            for (String faultDescription : new TreeSet<>(FAULTS_BY_DESCRIPTION.keySet())) {
                // The target covers these two faults; the detection time of the others is only reported.
                boolean hasTarget = faultDescription.startsWith("fails") || faultDescription.startsWith("is 10");
                FleetMember faultyServer = fleet.backends().get(serverIndex);
                double detectedMillis = measureDetectionMillis(
                        settings,
                        fleet,
                        balancer,
                        loadSettings,
                        faultyServer,
                        faultDescription,
                        wronglyEjected,
                        recovering,
                        notes);
                String name = "detect a server that " + faultDescription;
                measures.add(
                        hasTarget
                                ? Measure.atMost(name, detectedMillis, "ms", 2_000)
                                : Measure.of(name, detectedMillis, "ms"));
                recovering.add(faultyServer.name());
                notes.add("after that: retries " + FleetStatus.sumByLabels(fleet, "cassiabank_retries_total")
                        + ", attempts " + FleetStatus.sumByLabels(fleet, "cassiabank_attempts_total"));
                serverIndex++;
            }
            measures.add(Measure.atMost("healthy servers not counted as healthy", wronglyEjected.size(), "", 0));
            notes.addAll(wronglyEjected.stream()
                    .map(name -> "wrongly ejected: " + name)
                    .toList());
            measures.add(measureAmplification(settings, fleet, balancer, loadSettings, kind, requestsPerSecond));
        }
        return new ExperimentResult(
                SERVER_COUNT + " servers with " + SLOTS_PER_SERVER + " slots, " + SERVER_REQUESTS_PER_SECOND
                        + " requests/s to each, work " + WORK_MILLIS + " ms; one run instead of 1,000",
                measures,
                List.of(),
                notes);
    }

    private static Samples send(
            ExperimentSettings settings,
            LoadBalancer balancer,
            LoadSettings loadSettings,
            RequestKind kind,
            double requestsPerSecond,
            long durationMillis)
            throws InterruptedException {
        ArrivalSchedule schedule = ArrivalSchedule.draw(
                settings.seed(), 20, List.of(Phase.of("gray", durationMillis, requestsPerSecond, kind)));
        return LoadRunner.create(
                        balancer, loadSettings.withTokenPrefix(loadSettings.tokenPrefix() + "-" + System.nanoTime()))
                .run(schedule, FaultScript.empty());
    }

    /**
     * Returns the time from the fault until a proxy reports the server as unhealthy, in milliseconds; NaN if no proxy
     * does within 15 s.
     */
    private static double measureDetectionMillis(
            ExperimentSettings settings,
            Fleet fleet,
            LoadBalancer balancer,
            LoadSettings loadSettings,
            FleetMember faultyServer,
            String faultDescription,
            Set<String> wronglyEjected,
            Set<String> recovering,
            List<String> notes)
            throws InterruptedException {
        AtomicReference<Double> detectedMillis = new AtomicReference<>(Double.NaN);
        Thread watcher = Thread.ofPlatform().name("detection").start(() -> {
            String faultsUrl = faultyServer.controlUrl() + "/control/faults";
            try {
                Thread.sleep(1_000);
                long receivedBefore = FleetStatus.receivedRequests(fleet, List.of(faultyServer));
                fleet.adminClient().send("POST", faultsUrl, FAULTS_BY_DESCRIPTION.get(faultDescription));
                long startNanos = System.nanoTime();
                boolean recovered = false;
                while (!recovered && System.nanoTime() - startNanos < OBSERVATION_LIMIT_MILLIS * 1_000_000) {
                    Set<String> unhealthy = FleetStatus.unhealthyServers(fleet);
                    if (Double.isNaN(detectedMillis.get()) && unhealthy.contains(faultyServer.name())) {
                        detectedMillis.set((System.nanoTime() - startNanos) / 1e6);
                        long received = FleetStatus.receivedRequests(fleet, List.of(faultyServer)) - receivedBefore;
                        notes.add(faultyServer.name() + ", which " + faultDescription + ", received " + received
                                + " requests until it was detected");
                        fleet.adminClient().send("POST", faultsUrl, "{}");
                    }
                    recovered = !Double.isNaN(detectedMillis.get()) && !unhealthy.contains(faultyServer.name());
                    unhealthy.stream()
                            .filter(name -> !name.equals(faultyServer.name()))
                            .forEach(wronglyEjected::add);
                    Thread.sleep(20);
                }
                if (Double.isNaN(detectedMillis.get())) {
                    long received = FleetStatus.receivedRequests(fleet, List.of(faultyServer)) - receivedBefore;
                    notes.add(faultyServer.name() + ", which " + faultDescription + ", received " + received
                            + " requests in " + OBSERVATION_LIMIT_MILLIS + " ms and was not detected");
                }
                fleet.adminClient().send("POST", faultsUrl, "{}");
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        });
        // The load continues until the server is healthy again, because readmission requires traffic.
        while (watcher.isAlive()) {
            send(
                    settings,
                    balancer,
                    loadSettings,
                    RequestKind.shortRead(WORK_MILLIS),
                    SERVER_REQUESTS_PER_SECOND * SERVER_COUNT,
                    2_000);
        }
        return detectedMillis.get();
    }

    private static Measure measureAmplification(
            ExperimentSettings settings,
            Fleet fleet,
            LoadBalancer balancer,
            LoadSettings loadSettings,
            RequestKind kind,
            double requestsPerSecond)
            throws InterruptedException {
        for (FleetMember backend : fleet.backends()) {
            fleet.adminClient()
                    .send("POST", backend.controlUrl() + "/control/faults", "{\"fail\": 0.8, \"lie\": true}");
        }
        // The limit applies to periods that start with empty retry budgets, so the budgets are depleted first.
        send(settings, balancer, loadSettings, kind, requestsPerSecond, BUDGET_DEPLETION_MILLIS);
        long receivedBefore = FleetStatus.receivedRequests(fleet, fleet.backends());
        Samples failingSamples =
                send(settings, balancer, loadSettings, kind, requestsPerSecond, settings.durationSeconds() * 1_000L);
        long receivedAfter = FleetStatus.receivedRequests(fleet, fleet.backends());
        return Measure.atMost(
                "load on servers over callers' load, all servers fail 80%",
                (receivedAfter - receivedBefore) / (double) failingSamples.size(), "", 1.1);
    }
}
