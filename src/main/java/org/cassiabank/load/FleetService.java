package org.cassiabank.load;

import java.util.List;
import java.util.Locale;
import java.util.Objects;

/**
 * A service of a test fleet with its backend servers and selectors.
 *
 * @param name the name, which is also the prefix of the names of its servers
 * @param serverCount the number of backend servers
 * @param slotsPerServer the number of slots of each server
 * @param ejectionFloor the number of servers that stay in use even if more are failing
 * @param deadlineMillis the default deadline of requests, in milliseconds
 * @param selectors the selectors that route requests to the service
 */
public record FleetService(
        String name,
        int serverCount,
        int slotsPerServer,
        int ejectionFloor,
        long deadlineMillis,
        List<FleetSelector> selectors) {

    /**
     * Copies the selectors.
     *
     * @throws NullPointerException if the name, the list or a selector is null
     */
    public FleetService {
        Objects.requireNonNull(name, "name");
        selectors = List.copyOf(selectors);
    }

    /**
     * Returns the service {@code kitchen}, with selectors for short reads, long reads and orders and a deadline of 10
     * s.
     *
     * @param serverCount the number of backend servers
     * @param slotsPerServer the number of slots of each server
     * @return the service, whose ejection floor is half of its servers, but at least one
     */
    public static FleetService kitchen(int serverCount, int slotsPerServer) {
        return new FleetService(
                "kitchen",
                serverCount,
                slotsPerServer,
                Math.max(1, serverCount / 2),
                10_000,
                List.of(
                        new FleetSelector("menu-read", "GET", "/menu", true),
                        new FleetSelector("ledger-read", "GET", "/ledger", true),
                        new FleetSelector("order", "POST", "/order", false)));
    }

    /**
     * Writes the declarations of the service: a label for its instances, the service and its selectors.
     *
     * @return the TOML document
     */
    public String toToml() {
        StringBuilder toml =
                new StringBuilder(String.format(Locale.ROOT, """
                [label.%1$s]
                instances = "%1$s-*"
                set = { service = "%1$s" }

                [service.%1$s]
                slots = %2$d
                floor = %3$d
                deadline-millis = %4$d

                """, name, slotsPerServer, ejectionFloor, deadlineMillis));
        for (FleetSelector selector : selectors) {
            toml.append(String.format(
                    Locale.ROOT,
                    """
                    [selector.%s]
                    service = "%s"
                    methods = ["%s"]
                    path = "%s"
                    repeatable = %b

                    """,
                    selector.name(),
                    name,
                    selector.method(),
                    selector.path(),
                    selector.repeatable()));
        }
        return toml.toString();
    }

    /**
     * A selector of a test fleet.
     *
     * @param name the name
     * @param method the HTTP method
     * @param path the path prefix
     * @param repeatable whether a request may run more than once
     */
    public record FleetSelector(String name, String method, String path, boolean repeatable) {}
}
