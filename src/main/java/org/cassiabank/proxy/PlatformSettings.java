package org.cassiabank.proxy;

import java.util.Objects;
import java.util.Optional;

/**
 * How a daemon fits into the platform that it runs on.
 *
 * @param adapter the name of the adapter that speaks the platform's language, empty for the project's own conventions
 * @param healthPath the path of the load balancer's check
 * @param claims whether the keys of unrepeatable requests are claimed at keepers
 * @param floorPercent the share of a service's servers that ejection leaves in service where the service declares none,
 *     in percent
 */
public record PlatformSettings(Optional<String> adapter, String healthPath, boolean claims, int floorPercent) {
    private static final int ALL_PERCENT = 100;

    /**
     * Checks the components.
     */
    public PlatformSettings {
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(healthPath, "healthPath");
        if (!healthPath.startsWith("/")) {
            throw new IllegalArgumentException("path must start with /: " + healthPath);
        }
        if (floorPercent < 0 || floorPercent > ALL_PERCENT) {
            throw new IllegalArgumentException("floor must be from 0 to 100 percent: " + floorPercent);
        }
    }
}
