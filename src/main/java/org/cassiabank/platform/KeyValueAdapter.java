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
 * The platform whose settings name the form {@code kv}.
 */
public final class KeyValueAdapter implements PlatformAdapter {

    /**
     * Creates the adapter. Called by {@link java.util.ServiceLoader}.
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
        return new PlatformMessages();
    }

    @Override
    public RetryBudgetSettings parseRetryBudget(String text) {
        Map<String, String> bounds = new HashMap<>();
        for (String bound : text.split(",")) {
            int equals = bound.indexOf('=');
            if (equals > 0) {
                bounds.put(
                        bound.substring(0, equals).strip(),
                        bound.substring(equals + 1).strip());
            }
        }
        return new RetryBudgetSettings(
                Double.parseDouble(required(bounds, "retry_budget_ratio")),
                Double.parseDouble(required(bounds, "budget_slack")),
                PlatformTimes.toMillis(required(bounds, "budget_window")));
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
    public Instance parseServer(StoreEntry entry, String region) {
        return ServerDocuments.read(entry, region, serverKeyPrefix());
    }

    private static String required(Map<String, String> bounds, String name) {
        String value = bounds.get(name);
        if (value == null) {
            throw new IllegalArgumentException("bound " + name + " is missing in " + bounds);
        }
        return value;
    }
}
