package org.cassiabank.load;

import java.util.List;
import java.util.Map;

/**
 * What a test fleet consists of.
 *
 * @param seed the seed of the backend servers
 * @param proxyCount the number of proxies
 * @param services the services
 * @param proxySettings further lines of the proxies' settings, for example {@code scheduling} to {@code "owner"}
 * @param backendArguments further arguments of the backend servers
 */
public record FleetSettings(
        long seed,
        int proxyCount,
        List<FleetService> services,
        Map<String, String> proxySettings,
        List<String> backendArguments) {

    /**
     * Copies the collections.
     */
    public FleetSettings {
        services = List.copyOf(services);
        proxySettings = Map.copyOf(proxySettings);
        backendArguments = List.copyOf(backendArguments);
    }

    /**
     * Creates settings with one service and no further settings.
     *
     * @param seed the seed of the backend servers
     * @param proxyCount the number of proxies
     * @param service the service
     * @return the settings
     */
    public static FleetSettings of(long seed, int proxyCount, FleetService service) {
        return new FleetSettings(seed, proxyCount, List.of(service), Map.of(), List.of());
    }

    /**
     * Returns these settings with a line of the proxies' settings.
     *
     * @param key the key
     * @param value the value in TOML, quoted if it is a text
     * @return the settings
     */
    public FleetSettings withProxySetting(String key, String value) {
        Map<String, String> extendedSettings = new java.util.TreeMap<>(proxySettings);
        extendedSettings.put(key, value);
        return new FleetSettings(seed, proxyCount, services, extendedSettings, backendArguments);
    }

    /**
     * Returns these settings with further arguments of the backend servers.
     *
     * @param arguments the arguments
     * @return the settings
     */
    public FleetSettings withBackendArguments(String... arguments) {
        return new FleetSettings(seed, proxyCount, services, proxySettings, List.of(arguments));
    }
}
