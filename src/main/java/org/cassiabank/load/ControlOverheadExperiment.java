package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The experiment {@code capacity}: measures the control overhead per proxy (messages, bytes, processor time and heap)
 * as a function of the numbers of proxies, servers, selectors, changes and requests.
 */
final class ControlOverheadExperiment implements Experiment {
    private static final long SETTLE_MILLIS = 6_000;
    private static final double CORE_LIMIT_PERCENT = 1.8;
    private static final double HEAP_LIMIT_MEGABYTES = 256;
    private static final double CONTROL_BYTES_LIMIT_PER_SECOND = 11 * 1_024;

    @Override
    public String name() {
        return "capacity";
    }

    @Override
    public String summary() {
        return "control overhead per proxy against proxies, servers, selectors, changes and requests";
    }

    @Override
    public ExperimentResult run(ExperimentSettings settings) throws InterruptedException {
        int proxyCount = settings.proxyCount();
        List<FleetSize> sizes = List.of(
                new FleetSize(proxyCount / 2, 8, 3, 0, 0),
                new FleetSize(proxyCount, 8, 3, 0, 0),
                new FleetSize(proxyCount * 2, 8, 3, 0, 0),
                new FleetSize(proxyCount, 24, 3, 0, 0),
                new FleetSize(proxyCount, 8, 300, 0, 0),
                new FleetSize(proxyCount, 8, 3_000, 0, 0),
                new FleetSize(proxyCount, 8, 3, 2, 0),
                new FleetSize(proxyCount, 8, 3, 0, 100));
        List<Measure> measures = new ArrayList<>();
        List<Double> proxyCounts = new ArrayList<>();
        List<Double> controlBytesPerSecond = new ArrayList<>();
        for (FleetSize size : sizes) {
            Overhead overhead = measureOverhead(settings, size);
            String name = size.toText();
            measures.add(Measure.of(name + ": messages", overhead.messagesPerSecond(), "1/s"));
            measures.add(Measure.atMost(
                    name + ": control", overhead.bytesPerSecond(), "B/s", CONTROL_BYTES_LIMIT_PER_SECOND));
            measures.add(
                    size.requestsPerSecond() == 0
                            ? Measure.atMost(name + ": core", overhead.corePercent(), "%", CORE_LIMIT_PERCENT)
                            // With requests the processor time includes more than control work.
                            : Measure.of(name + ": core", overhead.corePercent(), "%"));
            measures.add(Measure.atMost(name + ": heap", overhead.heapMegabytes(), "MB", HEAP_LIMIT_MEGABYTES));
            if (size.serverCount() == 8
                    && size.selectorCount() == 3
                    && size.changesPerSecond() == 0
                    && size.requestsPerSecond() == 0) {
                proxyCounts.add((double) size.proxyCount());
                controlBytesPerSecond.add(overhead.bytesPerSecond());
            }
        }
        return new ExperimentResult(
                "p = proxies, s = servers, l = selectors, c = changes/s, r = requests/s; figures are means per proxy, "
                        + "their targets are those of the two-year scale",
                measures,
                List.of(new Series("control B/s per proxy against proxies", proxyCounts, controlBytesPerSecond)),
                List.of());
    }

    private static Overhead measureOverhead(ExperimentSettings settings, FleetSize size) throws InterruptedException {
        FleetService service = FleetService.kitchen(size.serverCount(), 2);
        try (Fleet fleet = Fleet.start(FleetSettings.of(settings.seed(), size.proxyCount(), service));
                LoadBalancer balancer = fleet.startProxyBalancer()) {
            if (size.selectorCount() > 3) {
                fleet.applyDeclarations(extraSelectors(size.selectorCount() - 3));
            }
            Thread.sleep(SETTLE_MILLIS);
            List<Map<String, Double>> metricsBefore = readMetrics(fleet);
            long startNanos = System.nanoTime();
            long durationMillis = settings.durationSeconds() * 1_000L;
            Thread changeThread = Thread.startVirtualThread(
                    () -> applyChanges(fleet, service, size.changesPerSecond(), durationMillis));
            if (size.requestsPerSecond() > 0) {
                Phase phase = Phase.of("light", durationMillis, size.requestsPerSecond(), RequestKind.shortRead(10));
                LoadRunner.create(balancer, LoadSettings.of("capacity" + settings.seed()))
                        .run(ArrivalSchedule.draw(settings.seed(), 20, List.of(phase)), FaultScript.empty());
            } else {
                Thread.sleep(durationMillis);
            }
            changeThread.join();
            double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
            return Overhead.between(metricsBefore, readMetrics(fleet), elapsedSeconds);
        }
    }

    private static void applyChanges(Fleet fleet, FleetService service, int changesPerSecond, long durationMillis) {
        try {
            for (int number = 1; number <= changesPerSecond * durationMillis / 1_000; number++) {
                fleet.applyDeclarations(
                        service.toToml().replace("deadline-millis = 10000", "deadline-millis = " + (10_000 + number)));
                Thread.sleep(1_000 / changesPerSecond);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private static String extraSelectors(int count) {
        StringBuilder toml = new StringBuilder();
        for (int number = 1; number <= count; number++) {
            toml.append("[selector.extra-").append(number).append("]\nservice = \"kitchen\"\nmethods = [\"GET\"]\n");
            toml.append("path = \"/extra/").append(number).append("\"\nrepeatable = true\n\n");
        }
        return toml.toString();
    }

    private static List<Map<String, Double>> readMetrics(Fleet fleet) {
        return fleet.proxies().stream()
                .map(proxy -> FleetStatus.metricTotals(fleet, proxy))
                .toList();
    }

    /**
     * The size of a fleet and of its load.
     *
     * @param proxyCount the number of proxies
     * @param serverCount the number of backend servers
     * @param selectorCount the number of selectors
     * @param changesPerSecond the configuration changes per second; 0 for none
     * @param requestsPerSecond the mean number of requests per second; 0 for none
     */
    private record FleetSize(
            int proxyCount, int serverCount, int selectorCount, int changesPerSecond, int requestsPerSecond) {
        String toText() {
            return "p " + proxyCount + ", s " + serverCount + ", l " + selectorCount + ", c " + changesPerSecond
                    + ", r " + requestsPerSecond;
        }
    }

    /**
     * The mean overhead per proxy. A metric that no proxy reports results in NaN.
     *
     * @param messagesPerSecond the control messages per second
     * @param bytesPerSecond the bytes of control messages per second
     * @param corePercent the processor time, in percent of one core
     * @param heapMegabytes the used heap, in units of 1,000,000 bytes
     */
    private record Overhead(double messagesPerSecond, double bytesPerSecond, double corePercent, double heapMegabytes) {
        static Overhead between(List<Map<String, Double>> before, List<Map<String, Double>> after, double seconds) {
            return new Overhead(
                    rate(before, after, "cassiabank_control_messages_total", seconds),
                    rate(before, after, "cassiabank_control_bytes_total", seconds),
                    rate(before, after, "process_cpu_seconds_total", seconds) * 100,
                    mean(after, "jvm_memory_used_bytes") / 1e6);
        }

        private static double rate(
                List<Map<String, Double>> before, List<Map<String, Double>> after, String name, double seconds) {
            return (mean(after, name) - mean(before, name)) / seconds;
        }

        private static double mean(List<Map<String, Double>> metrics, String name) {
            // NaN misses a target: a metric that no proxy reports is not measured.
            return metrics.stream()
                    .filter(values -> values.containsKey(name))
                    .mapToDouble(values -> values.get(name))
                    .average()
                    .orElse(Double.NaN);
        }
    }
}
