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
import org.cassiabank.source.StateConfirmation;
import org.cassiabank.source.VersionedConfiguration;

/**
 * Holds the configuration and the instance list that are in force in this daemon. Neither is ever replaced by an older
 * revision or index.
 */
final class FleetState {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ConfigurationHistory configurationHistory = ConfigurationHistory.create();
    private final InstanceListHistory instanceListHistory = InstanceListHistory.create();
    private final List<BiConsumer<FleetView, FleetView>> listeners = new CopyOnWriteArrayList<>();
    private final CountDownLatch readyLatch = new CountDownLatch(1);
    private final boolean logged;
    private volatile FleetView view;
    /** Empty if the source of the fleet cannot tell how current the state is. */
    private volatile Optional<StateConfirmation> confirmation = Optional.empty();

    private FleetState(String region, int floorPercent, boolean logged) {
        this.logged = logged;
        this.view = FleetView.empty(region, floorPercent);
    }

    static FleetState create(String region) {
        return create(region, 0);
    }

    static FleetState create(String region, int floorPercent) {
        return new FleetState(Objects.requireNonNull(region, "region"), floorPercent, true);
    }

    /** Creates the state of a fleet that is not the daemon's, whose changes would mislead operators in the log. */
    static FleetState createWithoutLog(String region) {
        return new FleetState(Objects.requireNonNull(region, "region"), 0, false);
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

    /** Returns how current the state is, empty if the source of the fleet cannot tell. */
    Optional<StateConfirmation> confirmation() {
        return confirmation;
    }

    void recordConfirmation(StateConfirmation newConfirmation) {
        confirmation = Optional.of(newConfirmation);
    }

    /**
     * Waits until both a configuration and an instance list are in force.
     *
     * @param timeoutMillis the longest wait in milliseconds
     * @return true if both are in force; false after the timeout or if the thread is interrupted
     */
    boolean awaitReady(long timeoutMillis) {
        try {
            return readyLatch.await(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Adds a listener that is called after each change, on the thread that makes the change and under the lock.
     *
     * @param listener receives the former view and the new one
     */
    void addListener(BiConsumer<FleetView, FleetView> listener) {
        listeners.add(listener);
    }

    /**
     * Applies those of the changes that follow the current revision. They come into force together, so that a daemon
     * that has just started is not ready with a part of them.
     *
     * @param changes the changes in the order of their revisions
     * @return true if at least one was applied
     * @throws CassiabankException if a change does not fit the configuration; the changes before it are in force
     */
    synchronized boolean apply(List<Change> changes) {
        long formerRevision = revision();
        try {
            for (Change change : changes) {
                if (change.revision() == configurationHistory.configuration().revision() + 1) {
                    configurationHistory.apply(change);
                }
            }
        } finally {
            publishConfiguration("from a peer");
        }
        return revision() > formerRevision;
    }

    /**
     * Installs a complete configuration from a snapshot document if it is newer. A malformed document is logged and
     * ignored.
     *
     * @param snapshot the snapshot document
     * @return true if it was installed
     */
    synchronized boolean install(byte[] snapshot) {
        try {
            if (!configurationHistory.installSnapshot(snapshot)) {
                return false;
            }
        } catch (CassiabankException exception) {
            LOGGER.atWarning().log(
                    "snapshot rejected; revision %d stays in force: %s", revision(), exception.getMessage());
            return false;
        }
        publishConfiguration("from a snapshot");
        return true;
    }

    /**
     * Installs a complete configuration of the store if it is newer, or another one of the same revision.
     *
     * @param versionedConfiguration the configuration and its revision
     * @return true if it was installed
     */
    synchronized boolean install(VersionedConfiguration versionedConfiguration) {
        if (!configurationHistory.installConfiguration(
                versionedConfiguration.revision(), versionedConfiguration.declarations())) {
            return false;
        }
        publishConfiguration("from the store");
        return true;
    }

    /**
     * Installs a complete instance list if its index is higher.
     *
     * @param instances the list
     * @return true if it was installed
     */
    synchronized boolean install(InstanceList instances) {
        if (!instanceListHistory.install(instances)) {
            return false;
        }
        publish(view.withInstances(instanceListHistory.current()));
        return true;
    }

    /**
     * Applies the difference between the current instance list and a newer one.
     *
     * @param delta the difference
     * @return true if the newer list is in force; false if it is not newer or the difference does not fit the current
     *     list, so that the complete list is needed
     */
    synchronized boolean apply(InstanceListDelta delta) {
        if (!instanceListHistory.apply(delta)) {
            return false;
        }
        publish(view.withInstances(instanceListHistory.current()));
        return true;
    }

    Optional<InstanceListDelta> instanceListDeltaSince(long index) {
        return instanceListHistory.deltaSince(index);
    }

    /**
     * Applies all changes in the store that follow the current revision.
     *
     * @param reader reads the changes from the store
     * @return true if the configuration changed
     * @throws CassiabankException if the store does not answer or contains a malformed change; the changes read before
     *     are in force
     */
    boolean catchUp(ChangeReader reader) {
        long formerRevision = revision();
        try {
            // Without the lock, so that a slow store does not delay the updates of peers.
            reader.catchUp(configurationHistory);
        } finally {
            synchronized (this) {
                publishConfiguration("from the store");
            }
        }
        return revision() > formerRevision;
    }

    Optional<List<Change>> changesSince(long revision) {
        return configurationHistory.changesSince(revision);
    }

    byte[] snapshot() {
        return configurationHistory.encodeSnapshot();
    }

    private void publishConfiguration(String origin) {
        if (configurationHistory.configuration() != view.configuration()) {
            publish(view.withConfiguration(configurationHistory.configuration()));
            if (logged) {
                LOGGER.atInfo().log("configuration revision %d is in force, %s", revision(), origin);
            }
        }
    }

    private void publish(FleetView newView) {
        FleetView formerView = view;
        view = newView;
        for (BiConsumer<FleetView, FleetView> listener : listeners) {
            listener.accept(formerView, newView);
        }
        if (isReady()) {
            readyLatch.countDown();
        }
    }
}
