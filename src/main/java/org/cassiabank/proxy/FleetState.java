package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceListDelta;
import org.cassiabank.membership.InstanceListHistory;
import org.cassiabank.revision.Change;
import org.cassiabank.revision.ChangeReader;
import org.cassiabank.revision.ConfigurationHistory;
import org.cassiabank.source.VersionedConfiguration;

/**
 * Holds the configuration and the instance list that are in force in this daemon. Neither ever goes back to an older
 * revision or index.
 */
final class FleetState {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ConfigurationHistory history = ConfigurationHistory.create();
    private final InstanceListHistory lists = InstanceListHistory.create();
    private final List<BiConsumer<FleetView, FleetView>> listeners = new CopyOnWriteArrayList<>();
    private final CountDownLatch ready = new CountDownLatch(1);
    private volatile FleetView view;

    private FleetState(String region, int floorPercent) {
        this.view = FleetView.empty(region, floorPercent);
    }

    static FleetState create(String region) {
        return create(region, 0);
    }

    static FleetState create(String region, int floorPercent) {
        return new FleetState(Objects.requireNonNull(region, "region"), floorPercent);
    }

    FleetView view() {
        return view;
    }

    long revision() {
        return view.configuration().revision();
    }

    /**
     * Tells whether this daemon has both a configuration and an instance list.
     *
     * @return false until both are in force
     */
    boolean isReady() {
        return revision() > 0 && view.instances().index() > 0;
    }

    /**
     * Waits until both are in force.
     *
     * @param millis the longest wait in milliseconds
     * @return whether they are
     */
    boolean awaitReady(long millis) {
        try {
            return ready.await(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Adds a listener that is called with the former and the new view after each change.
     *
     * @param listener the listener
     */
    void onChange(BiConsumer<FleetView, FleetView> listener) {
        listeners.add(listener);
    }

    /**
     * Applies those of the changes that follow the present revision. They come into force together, so that a daemon
     * that has just started is not ready with a part of them.
     *
     * @param changes the changes in the order of their revisions
     * @return true if at least one was applied
     * @throws CassiabankException if a change does not fit; those before it are in force
     */
    synchronized boolean apply(List<Change> changes) {
        long before = revision();
        try {
            for (Change change : changes) {
                if (change.revision() == history.configuration().revision() + 1) {
                    history.apply(change);
                }
            }
        } finally {
            publishConfiguration(before, "from a peer");
        }
        return revision() > before;
    }

    /**
     * Installs a whole configuration if it is newer.
     *
     * @param snapshot the document of the configuration
     * @return true if it was installed
     */
    synchronized boolean install(byte[] snapshot) {
        long before = revision();
        try {
            if (!history.installSnapshot(snapshot)) {
                return false;
            }
        } catch (CassiabankException exception) {
            LOGGER.atWarning().log(
                    "snapshot refused, revision %d stays in force: %s", revision(), exception.getMessage());
            return false;
        }
        publishConfiguration(before, "from a snapshot");
        return true;
    }

    /**
     * Installs a whole configuration if it is newer.
     *
     * @param versionedConfiguration the configuration
     * @return true if it was installed
     */
    synchronized boolean install(VersionedConfiguration versionedConfiguration) {
        long before = revision();
        if (!history.installConfiguration(versionedConfiguration.revision(), versionedConfiguration.declarations())) {
            return false;
        }
        publishConfiguration(before, "from the store");
        return true;
    }

    /**
     * Installs an instance list if it is newer.
     *
     * @param instances the list
     * @return true if it was installed
     */
    synchronized boolean install(InstanceList instances) {
        if (!lists.install(instances)) {
            return false;
        }
        publish(view.withInstances(lists.current()));
        return true;
    }

    /**
     * Applies the difference to a newer instance list.
     *
     * @param delta the difference
     * @return true if the newer list is in force; false if it is not newer or the whole list is needed
     */
    synchronized boolean apply(InstanceListDelta delta) {
        if (!lists.apply(delta)) {
            return false;
        }
        publish(view.withInstances(lists.current()));
        return true;
    }

    Optional<InstanceListDelta> instancesSince(long index) {
        return lists.deltaSince(index);
    }

    /**
     * Applies all changes that the store has.
     *
     * @param reader the changes in the store
     * @return true if the configuration changed
     * @throws CassiabankException if the store does not answer or holds a malformed change; what was read before it is
     *     in force
     */
    boolean catchUp(ChangeReader reader) {
        long before = revision();
        try {
            // Without the lock: a slow store must not hold up the news of peers.
            reader.catchUp(history);
        } finally {
            synchronized (this) {
                publishConfiguration(revision(), "from the store");
            }
        }
        return revision() > before;
    }

    Optional<List<Change>> changesSince(long revision) {
        return history.changesSince(revision);
    }

    byte[] snapshot() {
        return history.encodeSnapshot();
    }

    private void publishConfiguration(long before, String origin) {
        if (history.configuration().revision() > before) {
            publish(view.withConfiguration(history.configuration()));
            LOGGER.atInfo().log("configuration revision %d is in force, %s", revision(), origin);
        }
    }

    private void publish(FleetView next) {
        FleetView former = view;
        view = next;
        for (BiConsumer<FleetView, FleetView> listener : listeners) {
            listener.accept(former, next);
        }
        if (isReady()) {
            ready.countDown();
        }
    }
}
