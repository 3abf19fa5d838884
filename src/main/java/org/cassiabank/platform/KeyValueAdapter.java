package org.cassiabank.platform;

import java.net.URI;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cassiabank.backend.HeaderConventions;
import org.cassiabank.membership.Instance;
import org.cassiabank.source.MetadataStore;
import org.cassiabank.source.PlatformAdapter;
import org.cassiabank.source.PropagationTimes;
import org.cassiabank.source.QuotaBoundSettings;
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
        Map<String, String> boundsByName = boundsByName(text);
        return new RetryBudgetSettings(
                Double.parseDouble(requiredBound(boundsByName, "retry_budget_ratio")),
                Double.parseDouble(requiredBound(boundsByName, "budget_slack")),
                PlatformDurations.parseMillis(requiredBound(boundsByName, "budget_window")));
    }

    @Override
    public Optional<QuotaBoundSettings> parseQuotaBounds(String text) {
        Map<String, String> boundsByName = boundsByName(text);
        if (boundsByName.keySet().stream().noneMatch(name -> name.startsWith("quota_"))) {
            return Optional.empty();
        }
        return Optional.of(new QuotaBoundSettings(
                PlatformDurations.parseMillis(requiredBound(boundsByName, "quota_window")),
                Double.parseDouble(requiredBound(boundsByName, "quota_overage")),
                Double.parseDouble(requiredBound(boundsByName, "quota_slack"))));
    }

    /** The bound {@code config} counts from the store's acknowledgement. */
    @Override
    public PropagationTimes parsePropagationTimes(String text) {
        return PropagationTimes.of(Optional.ofNullable(boundsByName(text).get("config"))
                .map(PlatformDurations::parseMillis)
                .orElse(PropagationTimes.DEFAULT_BOUND_MILLIS));
    }

    @Override
    public Optional<Long> parseStopGraceMillis(String text) {
        return Optional.ofNullable(boundsByName(text).get("grace")).map(PlatformDurations::parseMillis);
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

    private static Map<String, String> boundsByName(String text) {
        Map<String, String> boundsByName = new HashMap<>();
        for (String bound : text.split(",")) {
            int equalsIndex = bound.indexOf('=');
            if (equalsIndex > 0) {
                boundsByName.put(
                        bound.substring(0, equalsIndex).strip(),
                        bound.substring(equalsIndex + 1).strip());
            }
        }
        return boundsByName;
    }

    private static String requiredBound(Map<String, String> boundsByName, String name) {
        String value = boundsByName.get(name);
        if (value == null) {
            throw new IllegalArgumentException("limit " + name + " is missing in " + boundsByName);
        }
        return value;
    }
}
