package org.cassiabank.soak;

import java.util.List;
import java.util.stream.Stream;

/** The documents that the operators and the servers write to the store. */
final class PlatformEntries {
    static final int FAILURE_DOMAIN_COUNT = 3;

    private PlatformEntries() {}

    /** Returns a configuration with a route for each version up to the given one. */
    static String configuration(int version, List<ExtraService> extraServices) {
        StringBuilder items = new StringBuilder();
        items.append(route("orders", "/order/", "non_idempotent", 1, "beta")).append(',');
        items.append(route("reads", "/read/", "idempotent", 2, "alpha"));
        for (int routeVersion = 1; routeVersion <= version; routeVersion++) {
            items.append(',').append(route("v" + routeVersion, "/v" + routeVersion + "/", "idempotent", 2, "alpha"));
        }
        for (ExtraService extra : extraServices) {
            items.append(',')
                    .append(route(
                            extra.name() + "-reads",
                            extra.readPrefix(),
                            "idempotent",
                            2,
                            extra.name(),
                            extra.timeoutMillis()));
            items.append(',')
                    .append(route(
                            extra.name() + "-orders",
                            extra.orderPrefix(),
                            "non_idempotent",
                            1,
                            extra.name(),
                            extra.timeoutMillis()));
        }
        Stream.concat(Stream.of("alpha", "beta"), extraServices.stream().map(ExtraService::name))
                .forEach(service -> items.append(",{\"resource_type\":\"services\",\"metadata\":{\"name\":\"")
                        .append(service)
                        .append("\"},\"spec\":{}}"));
        return "{\"version\":\"" + String.format("%08x", version) + "\",\"resources\":[" + items + "]}";
    }

    private static String route(String name, String prefix, String kind, int priority, String service) {
        return route(name, prefix, kind, priority, service, SoakCaller.REQUEST_TIMEOUT_MILLIS);
    }

    private static String route(
            String name, String prefix, String kind, int priority, String service, int timeoutMillis) {
        return "{\"resource_type\":\"routes\",\"metadata\":{\"name\":\"" + name
                + "\"},\"spec\":{\"host\":\"shop.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"timeout\":\"" + timeoutMillis
                + "ms\",\"target_latency\":\"600ms\",\"priority\":"
                + priority + ",\"service\":\"" + service + "\",\"max_attempts\":" + GuaranteeChecks.MAXIMUM_ATTEMPTS
                + "}}";
    }

    static String server(String service, int port, long bornMillis, int slots, String state) {
        return "{\"address\":\"127.0.0.1:" + port + "\",\"born\":" + bornMillis + ",\"info\":{\"service\":\"" + service
                + "\",\"version\":\"v1\",\"zone\":\"d" + port % FAILURE_DOMAIN_COUNT + "\",\"slots\":" + slots
                + "},\"status\":{\"state\":\"" + state + "\",\"sequence\":1,\"warmup_left\":\"0ms\"}}";
    }
}
