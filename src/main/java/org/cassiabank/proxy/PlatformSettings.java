package org.cassiabank.proxy;

import java.util.Objects;
import java.util.Optional;

/**
 * How a daemon fits into the platform that it runs on.
 *
 * @param adapter the name of the adapter that speaks the platform's language, empty for the project's own conventions
 * @param healthPath the path of the load balancer's check
 * @param bounds what the platform allows the fleet, in the form that the adapter reads; empty without an adapter
 * @param claims whether the keys of unrepeatable requests are claimed at keepers
 * @param floorPercent the share of a service's servers that ejection leaves in service where the service declares none,
 *     in percent
 * @param suspicionMillis how long a server is avoided after an abrupt failure, in milliseconds; 0 if only the outlier
 *     test ejects
 * @param serverIdleMillis how long idle connections to servers are kept, in milliseconds; empty for a short time
 * @param unrepeatableIdleMillis how long after its last response a connection may carry a request that may run only
 *     once, in milliseconds; 0 if such requests always open a connection
 * @param connectMillis the longest time to open a connection to a server, in milliseconds; empty for the default
 */
public record PlatformSettings(
        Optional<String> adapter,
        String healthPath,
        String bounds,
        boolean claims,
        int floorPercent,
        long suspicionMillis,
        Optional<Long> serverIdleMillis,
        long unrepeatableIdleMillis,
        Optional<Long> connectMillis) {
    private static final int ALL_PERCENT = 100;

    /**
     * Checks the components.
     */
    public PlatformSettings {
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(healthPath, "healthPath");
        Objects.requireNonNull(bounds, "bounds");
        Objects.requireNonNull(serverIdleMillis, "serverIdleMillis");
        Objects.requireNonNull(connectMillis, "connectMillis");
        if (!healthPath.startsWith("/")) {
            throw new IllegalArgumentException("path must start with /: " + healthPath);
        }
        if (floorPercent < 0 || floorPercent > ALL_PERCENT) {
            throw new IllegalArgumentException("floor must be from 0 to 100 percent: " + floorPercent);
        }
    }
}
