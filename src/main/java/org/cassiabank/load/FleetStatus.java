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
    public static Set<String> unhealthy(Fleet fleet) {
        Set<String> names = new TreeSet<>();
        for (FleetMember proxy : fleet.proxies()) {
            JsonNode shards =
                    fleet.client().getJson(proxy.controlUrl() + "/status").path("shards");
            for (JsonNode shard : shards) {
                shard.properties().forEach(entry -> {
                    if (!entry.getValue().asText().equals("HEALTHY")) {
                        names.add(entry.getKey());
                    }
                });
            }
        }
        return names;
    }

    /**
     * Returns the revision that a proxy has in force.
     *
     * @param fleet the fleet
     * @param proxy the proxy
     * @return the revision, or -1 if the proxy does not answer
     */
    public static long revision(Fleet fleet, FleetMember proxy) {
        return fleet.client()
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
    public static long executed(Fleet fleet, List<FleetMember> backends) {
        return sum(fleet, backends, "started");
    }

    /**
     * Returns how many requests backend servers received, shed ones included.
     *
     * @param fleet the fleet
     * @param backends the servers
     * @return the number since their starts
     */
    public static long received(Fleet fleet, List<FleetMember> backends) {
        return sum(fleet, backends, "received");
    }

    /**
     * Reads the metrics of a proxy.
     *
     * @param fleet the fleet
     * @param proxy the proxy
     * @return the values summed over all labels, per metric name
     */
    public static Map<String, Double> metrics(Fleet fleet, FleetMember proxy) {
        return parseMetrics(
                fleet.client().send("GET", proxy.controlUrl() + "/metrics", "").body());
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
            String text = fleet.client()
                    .send("GET", proxy.controlUrl() + "/metrics", "")
                    .body();
            for (String line : text.split("\n")) {
                int space = line.lastIndexOf(' ');
                if (line.startsWith(name + "{") && space > 0) {
                    sums.merge(
                            line.substring(name.length(), space),
                            Double.parseDouble(line.substring(space + 1)),
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
        Map<String, Double> values = new HashMap<>();
        for (String line : text.split("\n")) {
            int space = line.lastIndexOf(' ');
            boolean otherMemory = line.startsWith("jvm_memory") && !line.contains("area=\"heap\"");
            if (line.startsWith("#") || space < 0 || otherMemory) {
                continue;
            }
            int brace = line.indexOf('{');
            String name = line.substring(0, brace < 0 ? space : brace);
            try {
                values.merge(name, Double.parseDouble(line.substring(space + 1)), Double::sum);
            } catch (NumberFormatException ignored) {
                // Lines of another form, such as +Inf bounds, are not needed.
                continue;
            }
        }
        return values;
    }

    private static long sum(Fleet fleet, List<FleetMember> backends, String field) {
        long sum = 0;
        for (FleetMember backend : backends) {
            sum += fleet.client()
                    .getJson(backend.controlUrl() + "/control/record?summary=true")
                    .path(field)
                    .asLong();
        }
        return sum;
    }
}
