package org.cassiabank.proxy;

import java.util.Objects;
import java.util.Optional;

/**
 * The settings that adapt a daemon to the platform on which it runs.
 *
 * @param adapterName the name of the adapter for the platform's protocols, empty for the project's own conventions
 * @param healthPath the path of the load balancer's health check, which starts with /
 * @param platformLimits the platform's limits on the fleet's retries in the adapter's format, the value of the setting
 *     {@code platform-bounds}; empty without an adapter
 * @param claimsEnabled whether the keys of unrepeatable requests are claimed at keepers
 * @param floorPercent the share of a service's servers that ejection leaves in service where the service declares no
 *     floor, in percent from 0 to 100
 * @param suspicionMillis how long a server is avoided after an abrupt failure, in milliseconds; 0 if only the outlier
 *     test ejects
 * @param serverIdleMillis how long idle connections to servers are kept, in milliseconds; empty for the short default
 * @param unrepeatableIdleMillis the time after the last valid response of a server, in milliseconds, during which its
 *     connections may be reused for a request that may run only once; an older connection may have been cut without
 *     notice. With 0 such requests always open a new connection
 * @param connectMillis the longest time to open a connection to a server, in milliseconds; empty for the default
 */
public record PlatformSettings(
        Optional<String> adapterName,
        String healthPath,
        String platformLimits,
        boolean claimsEnabled,
        int floorPercent,
        long suspicionMillis,
        Optional<Long> serverIdleMillis,
        long unrepeatableIdleMillis,
        Optional<Long> connectMillis) {
    private static final int MAXIMUM_PERCENT = 100;

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if the path does not start with / or the floor is not from 0 to 100 percent
     */
    public PlatformSettings {
        Objects.requireNonNull(adapterName, "adapterName");
        Objects.requireNonNull(healthPath, "healthPath");
        Objects.requireNonNull(platformLimits, "platformLimits");
        Objects.requireNonNull(serverIdleMillis, "serverIdleMillis");
        Objects.requireNonNull(connectMillis, "connectMillis");
        if (!healthPath.startsWith("/")) {
            throw new IllegalArgumentException("path must start with /: " + healthPath);
        }
        if (floorPercent < 0 || floorPercent > MAXIMUM_PERCENT) {
            throw new IllegalArgumentException("floor must be from 0 to 100 percent: " + floorPercent);
        }
    }
}
