package org.cassiabank.source;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceListCodec;

/**
 * Reads the backend servers and daemons among the entries of a store. An entry is parsed once for each of its
 * revisions, and one that is not valid is logged then and names no instance. Instances are not thread-safe.
 */
final class InstanceEntries {
    /** The common prefix of the keys under which daemons register. */
    static final String DAEMONS_PREFIX = "cassiabank/daemons/";

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final PlatformAdapter adapter;
    private final String defaultRegion;
    private final Map<String, ParsedEntry> parsedEntries = new HashMap<>();

    private InstanceEntries(PlatformAdapter adapter, String defaultRegion) {
        this.adapter = adapter;
        this.defaultRegion = defaultRegion;
    }

    /**
     * Creates a reader that has parsed nothing yet.
     *
     * @param adapter parses the entries of backend servers
     * @param defaultRegion the region of servers whose entries name none
     * @return the reader
     */
    static InstanceEntries create(PlatformAdapter adapter, String defaultRegion) {
        return new InstanceEntries(
                Objects.requireNonNull(adapter, "adapter"), Objects.requireNonNull(defaultRegion, "defaultRegion"));
    }

    /**
     * Returns the instances that the entries of a table name.
     *
     * @param table the entries of the store
     * @return the instances by name
     */
    Map<String, Instance> instancesIn(StoreEntryTable table) {
        Map<String, Instance> listed = new HashMap<>();
        for (StoreEntry entry : table.withPrefix(adapter.serverKeyPrefix())) {
            parseIfChanged(entry, () -> adapter.parseServer(entry, defaultRegion))
                    .ifPresent(server -> listed.put(server.name(), server));
        }
        for (StoreEntry entry : table.withPrefix(DAEMONS_PREFIX)) {
            parseIfChanged(entry, () -> InstanceListCodec.parseOne(entry.value()))
                    .ifPresent(daemon -> listed.put(daemon.name(), daemon));
        }
        parsedEntries.keySet().removeIf(key -> table.find(key).isEmpty());
        return listed;
    }

    /** Logs that an entry is ignored. */
    static void logRejected(StoreEntry entry, RuntimeException problem) {
        LOGGER.atWarning().log("ignoring invalid entry %s at revision %s: %s", entry.key(), entry.revision(), problem);
    }

    private Optional<Instance> parseIfChanged(StoreEntry entry, Supplier<Instance> parser) {
        ParsedEntry cached = parsedEntries.get(entry.key());
        if (cached != null && cached.revision().equals(entry.revision())) {
            return cached.instance();
        }
        Optional<Instance> instance = Optional.empty();
        try {
            Instance parsed = parser.get();
            if (!parsed.hasUsableAddress()) {
                throw new IllegalArgumentException("the address cannot be connected to: " + parsed.address());
            }
            instance = Optional.of(parsed);
        } catch (RuntimeException exception) {
            // Other writers may store anything; an entry that cannot be used must not stop the others.
            logRejected(entry, exception);
        }
        parsedEntries.put(entry.key(), new ParsedEntry(entry.revision(), instance));
        return instance;
    }

    /**
     * The result of parsing an entry, cached until the entry changes.
     *
     * @param revision the revision of the parsed entry
     * @param instance the instance, empty if the entry is invalid
     */
    private record ParsedEntry(StoreRevision revision, Optional<Instance> instance) {}
}
