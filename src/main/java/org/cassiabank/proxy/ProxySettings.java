package org.cassiabank.proxy;

import java.net.URI;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import org.cassiabank.tls.TlsFiles;

/**
 * The settings of a proxy daemon.
 *
 * @param name the name of the instance, the same as in the platform's list
 * @param region the region of the daemon
 * @param failureDomain the failure domain of the daemon in its region
 * @param callersAddress the address on which callers connect
 * @param peerAddress the address on which other proxies connect
 * @param adminAddress the address of the metrics, health and status pages
 * @param store the URL of the platform's store
 * @param scheduling who schedules the slots
 * @param separateLongWork whether short requests are protected from long ones
 * @param fairAdmission whether the rules of fair admission are in force without customers too, for services whose
 *     selectors have different urgencies or short targets
 * @param limits the limits on callers
 * @param drainMillis how long a stopping daemon keeps serving after its health check fails, in milliseconds
 * @param longestDrainMillis the longest time that a stopping daemon waits for requests in flight, in milliseconds
 * @param platform the settings that depend on the platform
 * @param callersTls the TLS files for callers; empty without TLS
 * @param peerTls the TLS files for other proxies; empty without TLS
 * @param linkMegabitsPerSecond the bandwidth of the link of this daemon in megabits per second; empty if not limited
 */
public record ProxySettings(
        String name,
        String region,
        String failureDomain,
        HostAndPort callersAddress,
        HostAndPort peerAddress,
        HostAndPort adminAddress,
        URI store,
        SchedulingMode scheduling,
        boolean separateLongWork,
        boolean fairAdmission,
        CallerLimits limits,
        long drainMillis,
        long longestDrainMillis,
        PlatformSettings platform,
        Optional<TlsFiles> callersTls,
        Optional<TlsFiles> peerTls,
        OptionalDouble linkMegabitsPerSecond) {
    /**
     * Below this bandwidth the transfer time of common responses counts beside the time of a message: 90 KB take 1.4 ms
     * at 500 Mbit/s, which is about the time of a message between failure domains.
     */
    private static final double NARROW_LINK_MEGABITS_PER_SECOND = 500;

    /**
     * Checks that no component is null.
     */
    public ProxySettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(callersAddress, "callersAddress");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(adminAddress, "adminAddress");
        Objects.requireNonNull(store, "store");
        Objects.requireNonNull(scheduling, "scheduling");
        Objects.requireNonNull(limits, "limits");
        Objects.requireNonNull(platform, "platform");
        Objects.requireNonNull(callersTls, "callersTls");
        Objects.requireNonNull(peerTls, "peerTls");
        Objects.requireNonNull(linkMegabitsPerSecond, "linkMegabitsPerSecond");
    }

    /**
     * Tells whether the link of this daemon is so narrow that bytes to other failure domains are to be saved.
     *
     * @return true if a bandwidth below 500 megabits per second is set
     */
    public boolean hasNarrowLinks() {
        return linkMegabitsPerSecond.isPresent()
                && linkMegabitsPerSecond.getAsDouble() < NARROW_LINK_MEGABITS_PER_SECOND;
    }

    /**
     * Returns a copy with another bandwidth.
     *
     * @param newLinkMegabitsPerSecond the bandwidth in megabits per second; empty if not limited
     * @return the copy
     */
    ProxySettings withLinkMegabitsPerSecond(OptionalDouble newLinkMegabitsPerSecond) {
        return new ProxySettings(
                name,
                region,
                failureDomain,
                callersAddress,
                peerAddress,
                adminAddress,
                store,
                scheduling,
                separateLongWork,
                fairAdmission,
                limits,
                drainMillis,
                longestDrainMillis,
                platform,
                callersTls,
                peerTls,
                newLinkMegabitsPerSecond);
    }
}
