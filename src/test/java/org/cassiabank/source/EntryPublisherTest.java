package org.cassiabank.source;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.platform.PlatformTestDocuments;
import org.junit.jupiter.api.Test;

/** Guards against a configuration that never comes into force because its first installation failed. */
class EntryPublisherTest {
    private final EntryPublisher publisher =
            EntryPublisher.create(PlatformAdapters.forName("kv"), "region", new OutageGracePeriod());
    private final FailingListener listener = new FailingListener();
    private final StoreEntryTable table = new StoreEntryTable();

    @Test
    void aConfigurationWhoseInstallationFailedIsInstalledLater() {
        write(1, PlatformTestDocuments.configuration(5));
        listener.failing = true;
        assertThatThrownBy(() -> publisher.publish(table, listener, 0)).isInstanceOf(IllegalStateException.class);
        listener.failing = false;
        publisher.publish(table, listener, 0);
        assertThat(listener.revision).isEqualTo(5);
    }

    @Test
    void anEntryThatIsNoConfigurationIsIgnored() {
        write(1, PlatformTestDocuments.configuration(5));
        publisher.publish(table, listener, 0);
        write(2, "no configuration");
        publisher.publish(table, listener, 0);
        assertThat(listener.revision).isEqualTo(5);
    }

    private void write(long number, String document) {
        StoreRevision revision = new StoreRevision(1, number);
        StoreEntry entry = new StoreEntry("op/config", document.getBytes(StandardCharsets.UTF_8), revision);
        if (table.revision().equals(StoreRevision.none())) {
            table.replaceAll(List.of(new StorePage(List.of(entry), false, revision)));
        } else {
            table.apply(new StoreWatchResult(List.of(new StoreEvent.Written(entry)), revision));
        }
    }

    private static final class FailingListener implements FleetUpdateListener {
        private long revision;
        private boolean failing;

        @Override
        public long configurationRevision() {
            return revision;
        }

        @Override
        public long instanceListIndex() {
            return 0;
        }

        @Override
        public boolean install(VersionedConfiguration versionedConfiguration) {
            if (failing) {
                throw new IllegalStateException("the installation fails");
            }
            revision = versionedConfiguration.revision();
            return true;
        }

        @Override
        public boolean install(InstanceList instances) {
            return true;
        }

        @Override
        public void recordConfirmation(StateConfirmation confirmation) {}

        @Override
        public void recordStoreCall(String kind) {}
    }
}
