package org.cassiabank.load;

import java.util.List;
import java.util.Map;

/**
 * The numbers and settings of the processes of a test fleet.
 *
 * @param seed the seed from which the seeds of the backend servers are derived
 * @param proxyCount the number of proxies
 * @param services the services
 * @param proxySettings additional settings of all proxies, TOML values by key, for example {@code "owner"} by
 *     {@code scheduling}
 * @param backendArguments additional command-line arguments of all backend servers
 */
public record FleetSettings(
        long seed,
        int proxyCount,
        List<FleetService> services,
        Map<String, String> proxySettings,
        List<String> backendArguments) {

    /**
     * Copies the collections.
     *
     * @throws NullPointerException if a collection or one of its elements is null
     */
    public FleetSettings {
        services = List.copyOf(services);
        proxySettings = Map.copyOf(proxySettings);
        backendArguments = List.copyOf(backendArguments);
    }

    /**
     * Creates settings of a fleet with one service and without additional settings and arguments.
     *
     * @param seed the seed from which the seeds of the backend servers are derived
     * @param proxyCount the number of proxies
     * @param service the service
     * @return the settings
     */
    public static FleetSettings of(long seed, int proxyCount, FleetService service) {
        return new FleetSettings(seed, proxyCount, List.of(service), Map.of(), List.of());
    }

    /**
     * Returns a copy with an additional setting of all proxies, which replaces an earlier one with the same key.
     *
     * @param key the key
     * @param value the value in TOML syntax; a string includes its quotes
     * @return the changed copy
     */
    public FleetSettings withProxySetting(String key, String value) {
        Map<String, String> extendedSettings = new java.util.TreeMap<>(proxySettings);
        extendedSettings.put(key, value);
        return new FleetSettings(seed, proxyCount, services, extendedSettings, backendArguments);
    }

    /**
     * Returns a copy with other additional arguments of the backend servers; earlier ones are replaced.
     *
     * @param arguments the arguments
     * @return the changed copy
     */
    public FleetSettings withBackendArguments(String... arguments) {
        return new FleetSettings(seed, proxyCount, services, proxySettings, List.of(arguments));
    }
}
