package org.cassiabank.source;

import java.net.URI;
import java.util.Optional;
import org.cassiabank.backend.HeaderConventions;
import org.cassiabank.membership.Instance;

/**
 * Connects the product to one platform: its store, the format of its entries, and the headers of its callers and
 * backend servers.
 *
 * <p>Adapters are found by name with {@link java.util.ServiceLoader}. They convert formats and contain no policy.
 */
public interface PlatformAdapter {

    /**
     * Returns the name by which the settings select the adapter.
     *
     * @return the value of the setting {@code platform-adapter}
     */
    String name();

    /**
     * Creates a client of the platform's store without connecting to it.
     *
     * @param address the HTTP URL of the store
     * @return the client
     * @throws IllegalArgumentException if the address is not an HTTP URL
     */
    MetadataStore openStore(URI address);

    /**
     * Returns the header conventions of requests and responses.
     *
     * @return the conventions
     */
    HeaderConventions headerConventions();

    /**
     * Parses the limits on retries that the platform sets for the fleet.
     *
     * @param text the limits in the platform's format, the value of the setting {@code platform-bounds}
     * @return the limits
     * @throws IllegalArgumentException if a limit is missing, malformed or out of range
     */
    RetryBudgetSettings parseRetryBudget(String text);

    /**
     * Parses how closely the platform requires the limits of customers to be kept.
     *
     * @param text the bounds in the platform's format, the value of the setting {@code platform-bounds}
     * @return the bounds, empty if the platform names none
     * @throws IllegalArgumentException if a bound is malformed or out of range, or if only some of them are named
     */
    Optional<QuotaBoundSettings> parseQuotaBounds(String text);

    /**
     * Parses the time within which the platform requires a change of the configuration to be in force.
     *
     * @param text the bounds in the platform's format, the value of the setting {@code platform-bounds}
     * @return the times, those of the default bound if the platform names none
     * @throws IllegalArgumentException if the bound is malformed or out of range
     */
    PropagationTimes parsePropagationTimes(String text);

    /**
     * Reads how long the platform waits between the signal that stops a process and its kill.
     *
     * @param text the limits that the platform states, as the settings pass them on
     * @return the time in milliseconds, empty if the platform states none
     * @throws IllegalArgumentException if the time cannot be read
     */
    Optional<Long> parseStopGraceMillis(String text);

    /**
     * Returns the key that holds the operators' configuration.
     *
     * @return the key
     */
    String configurationKey();

    /**
     * Returns the common prefix of the keys under which backend servers register.
     *
     * @return the prefix
     */
    String serverKeyPrefix();

    /**
     * Parses the operators' configuration.
     *
     * @param entry the entry at {@link #configurationKey()}
     * @return the configuration
     * @throws org.cassiabank.kernel.CassiabankException with all findings if the document is not valid
     */
    VersionedConfiguration parseConfiguration(StoreEntry entry);

    /**
     * Parses the registration of a backend server.
     *
     * @param entry an entry whose key starts with {@link #serverKeyPrefix()}
     * @param defaultRegion the region of servers whose entries name none
     * @return the server
     * @throws org.cassiabank.kernel.CassiabankException with all findings if the document is not valid
     */
    Instance parseServer(StoreEntry entry, String defaultRegion);
}
