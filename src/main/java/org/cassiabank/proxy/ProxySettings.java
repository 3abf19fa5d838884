package org.cassiabank.proxy;

import java.net.URI;
import java.util.Objects;
import java.util.Optional;
import org.cassiabank.tls.TlsFiles;

/**
 * The settings of a proxy daemon.
 *
 * @param name the name of the instance, the same as in the platform's list
 * @param region the region
 * @param failureDomain the failure domain inside the region
 * @param callersAddress the address for callers
 * @param peerAddress the address for other proxies
 * @param adminAddress the address of the metrics, health and status pages
 * @param store the URL of the platform's service
 * @param scheduling who schedules the slots
 * @param separateLongWork whether short work is kept clear of long work
 * @param limits the limits on callers
 * @param drainMillis how long a stopping daemon keeps serving after its health check fails, in milliseconds
 * @param longestDrainMillis how long a stopping daemon waits for requests in flight, in milliseconds
 * @param platform how the daemon fits into the platform
 * @param callersTls the keys for callers, if TLS is used
 * @param peerTls the keys for other proxies, if TLS is used
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
        CallerLimits limits,
        long drainMillis,
        long longestDrainMillis,
        PlatformSettings platform,
        Optional<TlsFiles> callersTls,
        Optional<TlsFiles> peerTls) {

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
    }
}
