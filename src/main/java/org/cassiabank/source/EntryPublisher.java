package org.cassiabank.source;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;

/**
 * Publishes the instances and the configuration that the entries of the store name. Instances are not thread-safe.
 */
final class EntryPublisher {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final PlatformAdapter adapter;
    private final InstanceEntries instanceEntries;
    private final OutageGracePeriod outageGracePeriod;
    private final DepartedServers departedServers = new DepartedServers();
    private Map<String, Instance> publishedInstances = Map.of();
    private long publishedIndex;
    private StoreRevision configurationEntryRevision = StoreRevision.none();
    /** The version in the latest valid entry, which is older than the one in force after the store lost changes. */
    private long storedConfigurationVersion;
    /** The position at which the entries of the current era were first read. */
    private StoreRevision eraStart = StoreRevision.none();

    private EntryPublisher(PlatformAdapter adapter, String region, OutageGracePeriod outageGracePeriod) {
        this.adapter = adapter;
        this.instanceEntries = InstanceEntries.create(adapter, region);
        this.outageGracePeriod = outageGracePeriod;
    }

    /**
     * Creates a publisher that has published nothing yet.
     *
     * @param adapter parses the entries
     * @param region the region of servers whose entries name none
     * @param outageGracePeriod retains instances whose entries ended in an outage of the store
     * @return the publisher
     */
    static EntryPublisher create(PlatformAdapter adapter, String region, OutageGracePeriod outageGracePeriod) {
        return new EntryPublisher(
                Objects.requireNonNull(adapter, "adapter"),
                Objects.requireNonNull(region, "region"),
                Objects.requireNonNull(outageGracePeriod, "outageGracePeriod"));
    }

    /**
     * Records that the entries of a new era have been read, which may lack the latest changes of the former one.
     *
     * @param newEraStart the position at which they were read
     * @param nowMillis the current time in milliseconds
     */
    void recordRestoration(StoreRevision newEraStart, long nowMillis) {
        eraStart = newEraStart;
        outageGracePeriod.recordRestoration(nowMillis);
        departedServers.recordRestoration(nowMillis);
    }

    /**
     * Publishes what has changed: the instances before the configuration, because a daemon with a configuration accepts
     * requests.
     *
     * @param table the entries of the store
     * @param listener receives the instances and the configuration
     * @param nowMillis the current time in milliseconds
     */
    void publish(StoreEntryTable table, FleetUpdateListener listener, long nowMillis) {
        publishInstances(table, listener, nowMillis);
        publishConfiguration(table, listener);
    }

    /** Returns the time in milliseconds when the entries have to be published again although none has changed. */
    long nextEvaluationMillis() {
        return Math.min(outageGracePeriod.nextEvaluationMillis(), departedServers.nextEvaluationMillis());
    }

    /** Tells whether the store holds an older configuration than the one that is in force. */
    boolean isStoreBehind(FleetUpdateListener listener) {
        return storedConfigurationVersion < listener.configurationRevision();
    }

    private void publishInstances(StoreEntryTable table, FleetUpdateListener listener, long nowMillis) {
        Map<String, Instance> listed = departedServers.correct(
                instanceEntries.instancesIn(table), server -> mayComeFromCopy(table, server), nowMillis);
        Map<String, Instance> instancesToPublish = outageGracePeriod.addRetained(listed, nowMillis);
        departedServers.recordPublished(instancesToPublish, nowMillis);
        // During an outage of the store a list from a peer may have replaced the last list published here.
        if (instancesToPublish.equals(publishedInstances)
                && publishedIndex > 0
                && listener.instanceListIndex() == publishedIndex) {
            return;
        }
        Map<String, Instance> previousInstances = publishedInstances;
        publishedInstances = instancesToPublish;
        publishedIndex = Math.max(
                Math.max(publishedIndex, listener.instanceListIndex()) + 1,
                table.revision().instanceListIndex());
        listener.install(InstanceList.of(publishedIndex, instancesToPublish.values()));
        if (previousInstances.isEmpty()) {
            // One log line for each instance would take a considerable part of the startup time.
            LOGGER.atInfo().log("first instance list, revision %s: %s", table.revision(), instancesToPublish.keySet());
        } else {
            logDifferences(previousInstances, instancesToPublish, table.revision());
        }
    }

    private boolean mayComeFromCopy(StoreEntryTable table, String server) {
        return table.find(adapter.serverKeyPrefix() + server)
                .filter(entry -> !entry.revision().isAfter(eraStart))
                .isPresent();
    }

    private void publishConfiguration(StoreEntryTable table, FleetUpdateListener listener) {
        Optional<StoreEntry> entry = table.find(adapter.configurationKey());
        if (entry.isEmpty() || entry.get().revision().equals(configurationEntryRevision)) {
            return;
        }
        StoreRevision entryRevision = entry.get().revision();
        Optional<VersionedConfiguration> configuration = parseConfiguration(entry.get());
        if (configuration.isPresent()) {
            storedConfigurationVersion = configuration.get().revision();
            if (isStoreBehind(listener)) {
                LOGGER.atInfo().log(
                        "the store holds configuration revision %d at revision %s; revision %d stays in force",
                        storedConfigurationVersion, entryRevision, listener.configurationRevision());
            } else {
                listener.install(configuration.get());
            }
        }
        // Only now: an entry that could not be installed is tried again.
        configurationEntryRevision = entryRevision;
    }

    private Optional<VersionedConfiguration> parseConfiguration(StoreEntry entry) {
        try {
            return Optional.of(adapter.parseConfiguration(entry));
        } catch (RuntimeException exception) {
            // Other writers may store anything; an entry that cannot be used must not stop the others.
            InstanceEntries.logRejected(entry, exception);
            return Optional.empty();
        }
    }

    private static void logDifferences(
            Map<String, Instance> previousInstances, Map<String, Instance> newInstances, StoreRevision revision) {
        newInstances.forEach((name, instance) -> {
            Instance previous = previousInstances.get(name);
            if (previous == null) {
                LOGGER.atInfo().log(
                        "%s %s was added at %s, revision %s", instance.role(), name, instance.address(), revision);
            } else if (previous.state() != instance.state()) {
                LOGGER.atInfo().log("%s %s is %s, revision %s", instance.role(), name, instance.state(), revision);
            }
        });
        previousInstances.forEach((name, instance) -> {
            if (!newInstances.containsKey(name)) {
                LOGGER.atInfo().log("%s %s was removed, revision %s", instance.role(), name, revision);
            }
        });
    }
}
