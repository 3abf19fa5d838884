package org.cassiabank.platform;

import java.net.URI;
import org.cassiabank.backend.MessageProfile;
import org.cassiabank.membership.Instance;
import org.cassiabank.source.ConfigurationDocument;
import org.cassiabank.source.EntryStore;
import org.cassiabank.source.PlatformAdapter;
import org.cassiabank.source.StoreEntry;

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
    public EntryStore openStore(URI address) {
        return KeyValueStore.create(address);
    }

    @Override
    public MessageProfile messages() {
        return new PlatformMessages();
    }

    @Override
    public String configurationKey() {
        return "op/config";
    }

    @Override
    public String serversPrefix() {
        return "servers/";
    }

    @Override
    public ConfigurationDocument configuration(StoreEntry entry) {
        return OperatorDocuments.read(entry);
    }

    @Override
    public Instance server(StoreEntry entry, String region) {
        return ServerDocuments.read(entry, region, serversPrefix());
    }
}
