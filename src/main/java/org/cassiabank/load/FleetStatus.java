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
     * Returns the backend servers that at least one proxy does not report as healthy.
     *
     * @param fleet the fleet
     * @return the names of ejected servers and servers on probation; a proxy that does not respond contributes none
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
     * Returns the configuration revision that is in force on a proxy.
     *
     * @param fleet the fleet
     * @param proxy the proxy
     * @return the revision, or -1 if the proxy does not respond
     */
    public static long activeRevision(Fleet fleet, FleetMember proxy) {
        return fleet.adminClient()
                .getJson(proxy.controlUrl() + "/status")
                .path("revision")
                .asLong(-1);
    }

    /**
     * Counts the requests whose execution backend servers started; requests that they shed are not counted.
     *
     * @param fleet the fleet
     * @param backends the servers
     * @return the number since their starts
     */
    public static long acceptedRequests(Fleet fleet, List<FleetMember> backends) {
        return sumRecordField(fleet, backends, "started");
    }

    /**
     * Counts the requests that backend servers received, including those that they shed.
     *
     * @param fleet the fleet
     * @param backends the servers
     * @return the number since their starts
     */
    public static long receivedRequests(Fleet fleet, List<FleetMember> backends) {
        return sumRecordField(fleet, backends, "received");
    }

    /**
     * Reads the metrics of a proxy and sums each over its labels.
     *
     * @param fleet the fleet
     * @param proxy the proxy
     * @return the sums per metric name; of the JVM's memory only the heap
     */
    public static Map<String, Double> metricTotals(Fleet fleet, FleetMember proxy) {
        return parseMetrics(fleet.adminClient()
                .send("GET", proxy.controlUrl() + "/metrics", "")
                .body());
    }

    /**
     * Sums a metric over all proxies, separately for each set of labels.
     *
     * @param fleet the fleet
     * @param name the name of the metric
     * @return the sums by the set of labels as the metrics page writes it, braces included
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
     * Parses metrics in the Prometheus text format and sums each over its labels.
     *
     * @param text the text
     * @return the sums per metric name; of the JVM's memory only the heap
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
                // Lines whose value is no Java number, such as +Inf bounds, are not needed.
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
