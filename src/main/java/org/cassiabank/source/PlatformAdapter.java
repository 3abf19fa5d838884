package org.cassiabank.source;

import java.net.URI;
import org.cassiabank.backend.HeaderConventions;
import org.cassiabank.membership.Instance;

/**
 * The language of one platform: its store, the form of its entries, and the headers of its callers and backend servers.
 *
 * <p>Adapters are found by name with {@link java.util.ServiceLoader}. They convert and decide nothing.
 */
public interface PlatformAdapter {

    /**
     * Returns the name by which the settings choose the adapter.
     *
     * @return the name
     */
    String name();

    /**
     * Creates a client of the platform's store.
     *
     * @param address the URL of the store
     * @return the client
     */
    MetadataStore openStore(URI address);

    /**
     * Returns the headers of requests and responses.
     *
     * @return the conventions
     */
    HeaderConventions headerConventions();

    /**
     * Reads what the platform allows the fleet.
     *
     * @param text the bounds in the platform's form, as the settings hold them
     * @return the bounds
     * @throws IllegalArgumentException if a bound is missing or malformed
     */
    RetryBudgetSettings parseRetryBudget(String text);

    /**
     * Returns the key that holds the operators' configuration.
     *
     * @return the key
     */
    String configurationKey();

    /**
     * Returns the common prefix of the keys that backend servers write.
     *
     * @return the prefix
     */
    String serverKeyPrefix();

    /**
     * Reads the operators' configuration.
     *
     * @param entry the entry at {@link #configurationKey()}
     * @return the configuration
     * @throws org.cassiabank.kernel.CassiabankException with all findings if the document is not valid
     */
    VersionedConfiguration parseConfiguration(StoreEntry entry);

    /**
     * Reads what a backend server states of itself.
     *
     * @param entry an entry below {@link #serverKeyPrefix()}
     * @param region the region that counts for servers that state none
     * @return the server
     * @throws org.cassiabank.kernel.CassiabankException with all findings if the document is not valid
     */
    Instance parseServer(StoreEntry entry, String region);
}
