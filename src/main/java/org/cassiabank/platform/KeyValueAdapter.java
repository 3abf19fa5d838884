package org.cassiabank.platform;

import java.net.URI;
import java.util.HashMap;
import java.util.Map;
import org.cassiabank.backend.HeaderConventions;
import org.cassiabank.membership.Instance;
import org.cassiabank.source.MetadataStore;
import org.cassiabank.source.PlatformAdapter;
import org.cassiabank.source.RetryBudgetSettings;
import org.cassiabank.source.StoreEntry;
import org.cassiabank.source.VersionedConfiguration;

/**
 * The adapter of the platform that the settings select with the name {@code kv}.
 */
public final class KeyValueAdapter implements PlatformAdapter {

    /**
     * Creates the adapter; {@link java.util.ServiceLoader} needs a public constructor without parameters.
     */
    public KeyValueAdapter() {
        super();
    }

    @Override
    public String name() {
        return "kv";
    }

    @Override
    public MetadataStore openStore(URI address) {
        return KeyValueStore.create(address);
    }

    @Override
    public HeaderConventions headerConventions() {
        return new PlatformHeaderConventions();
    }

    @Override
    public RetryBudgetSettings parseRetryBudget(String text) {
        Map<String, String> limitsByName = new HashMap<>();
        for (String limit : text.split(",")) {
            int equalsIndex = limit.indexOf('=');
            if (equalsIndex > 0) {
                limitsByName.put(
                        limit.substring(0, equalsIndex).strip(),
                        limit.substring(equalsIndex + 1).strip());
            }
        }
        return new RetryBudgetSettings(
                Double.parseDouble(requiredLimit(limitsByName, "retry_budget_ratio")),
                Double.parseDouble(requiredLimit(limitsByName, "budget_slack")),
                PlatformDurations.parseMillis(requiredLimit(limitsByName, "budget_window")));
    }

    @Override
    public String configurationKey() {
        return "op/config";
    }

    @Override
    public String serverKeyPrefix() {
        return "servers/";
    }

    @Override
    public VersionedConfiguration parseConfiguration(StoreEntry entry) {
        return OperatorDocuments.read(entry);
    }

    @Override
    public Instance parseServer(StoreEntry entry, String defaultRegion) {
        return ServerDocuments.read(entry, defaultRegion, serverKeyPrefix());
    }

    private static String requiredLimit(Map<String, String> limitsByName, String name) {
        String value = limitsByName.get(name);
        if (value == null) {
            throw new IllegalArgumentException("limit " + name + " is missing in " + limitsByName);
        }
        return value;
    }
}
