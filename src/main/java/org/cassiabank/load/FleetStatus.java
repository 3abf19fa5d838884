package org.cassiabank.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Reads the admin and control pages of the members of a fleet.
 */
public final class FleetStatus {
    private FleetStatus() {}

    /**
     * Returns the servers that some proxy does not count as healthy.
     *
     * @param fleet the fleet
     * @return the names of ejected servers and servers on probation
     */
    public static Set<String> unhealthyServers(Fleet fleet) {
        Set<String> serverNames = new TreeSet<>();
        for (FleetMember proxy : fleet.proxies()) {
            JsonNode shards =
                    fleet.adminClient().getJson(proxy.controlUrl() + "/status").path("shards");
            for (JsonNode shard : shards) {
                shard.properties().forEach(entry -> {
                    if (!entry.getValue().asText().equals("HEALTHY")) {
                        serverNames.add(entry.getKey());
                    }
                });
            }
        }
        return serverNames;
    }

    /**
     * Returns the revision that a proxy has in force.
     *
     * @param fleet the fleet
     * @param proxy the proxy
     * @return the revision, or -1 if the proxy does not answer
     */
    public static long activeRevision(Fleet fleet, FleetMember proxy) {
        return fleet.adminClient()
                .getJson(proxy.controlUrl() + "/status")
                .path("revision")
                .asLong(-1);
    }

    /**
     * Returns how many requests backend servers received, without those that they shed.
     *
     * @param fleet the fleet
     * @param backends the servers
     * @return the number since their starts
     */
    public static long acceptedRequests(Fleet fleet, List<FleetMember> backends) {
        return sumRecordField(fleet, backends, "started");
    }

    /**
     * Returns how many requests backend servers received, shed ones included.
     *
     * @param fleet the fleet
     * @param backends the servers
     * @return the number since their starts
     */
    public static long receivedRequests(Fleet fleet, List<FleetMember> backends) {
        return sumRecordField(fleet, backends, "received");
    }

    /**
     * Reads the metrics of a proxy.
     *
     * @param fleet the fleet
     * @param proxy the proxy
     * @return the values summed over all labels, per metric name
     */
    public static Map<String, Double> metricTotals(Fleet fleet, FleetMember proxy) {
        return parseMetrics(fleet.adminClient()
                .send("GET", proxy.controlUrl() + "/metrics", "")
                .body());
    }

    /**
     * Sums a metric over all proxies.
     *
     * @param fleet the fleet
     * @param name the name of the metric
     * @return the sums per set of labels
     */
    public static Map<String, Double> sumByLabels(Fleet fleet, String name) {
        Map<String, Double> sums = new TreeMap<>();
        for (FleetMember proxy : fleet.proxies()) {
            String text = fleet.adminClient()
                    .send("GET", proxy.controlUrl() + "/metrics", "")
                    .body();
            for (String line : text.split("\n")) {
                int valueSeparator = line.lastIndexOf(' ');
                if (line.startsWith(name + "{") && valueSeparator > 0) {
                    sums.merge(
                            line.substring(name.length(), valueSeparator),
                            Double.parseDouble(line.substring(valueSeparator + 1)),
                            Double::sum);
                }
            }
        }
        return sums;
    }

    /**
     * Reads metrics in the Prometheus text format.
     *
     * @param text the text
     * @return the values summed over all labels, per metric name; of the JVM's memory only the heap
     */
    static Map<String, Double> parseMetrics(String text) {
        Map<String, Double> totals = new HashMap<>();
        for (String line : text.split("\n")) {
            int valueSeparator = line.lastIndexOf(' ');
            boolean otherMemory = line.startsWith("jvm_memory") && !line.contains("area=\"heap\"");
            if (line.startsWith("#") || valueSeparator < 0 || otherMemory) {
                continue;
            }
            int labelStart = line.indexOf('{');
            String name = line.substring(0, labelStart < 0 ? valueSeparator : labelStart);
            try {
                totals.merge(name, Double.parseDouble(line.substring(valueSeparator + 1)), Double::sum);
            } catch (NumberFormatException ignored) {
                // Lines of another form, such as +Inf bounds, are not needed.
                continue;
            }
        }
        return totals;
    }

    private static long sumRecordField(Fleet fleet, List<FleetMember> backends, String field) {
        long sum = 0;
        for (FleetMember backend : backends) {
            sum += fleet.adminClient()
                    .getJson(backend.controlUrl() + "/control/record?summary=true")
                    .path(field)
                    .asLong();
        }
        return sum;
    }
}
