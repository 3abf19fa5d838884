package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.Objects;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.cassiabank.kernel.BackgroundTasks;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.revision.ChangeReader;
import org.cassiabank.revision.ChangeStore;
import org.cassiabank.revision.ExchangePlanner;
import org.cassiabank.source.FleetSource;
import org.cassiabank.source.FleetUpdateListener;
import org.cassiabank.source.StoreRelayReply;
import org.cassiabank.source.StoreRevision;
import org.cassiabank.store.InstanceListClient;

/**
 * Reads the configuration and the instance list from the platform. Only the watchers of a failure domain wait there for
 * changes; other daemons read from it when no peer has answered them for some time.
 */
final class PlatformWatch implements FleetSource {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** How long the platform holds a watch call when nothing changes. */
    private static final long WATCH_TIMEOUT_MILLIS = 10_000;

    private final ChangeStore changeStore;
    private final ChangeReader changeReader;
    private final InstanceListClient instanceListClient;
    private final FleetState fleet;
    private final Replication replication;
    private final ProxyMetrics metrics;
    private volatile boolean stopped;

    private PlatformWatch(
            ChangeStore changeStore,
            InstanceListClient instanceListClient,
            FleetState fleet,
            Replication replication,
            ProxyMetrics metrics) {
        this.changeStore = changeStore;
        this.changeReader = ChangeReader.create(changeStore);
        this.instanceListClient = instanceListClient;
        this.fleet = fleet;
        this.replication = replication;
        this.metrics = metrics;
    }

    static PlatformWatch create(
            ChangeStore changeStore,
            InstanceListClient instanceListClient,
            FleetState fleet,
            Replication replication,
            ProxyMetrics metrics) {
        return new PlatformWatch(
                Objects.requireNonNull(changeStore, "changeStore"),
                Objects.requireNonNull(instanceListClient, "instanceListClient"),
                Objects.requireNonNull(fleet, "fleet"),
                Objects.requireNonNull(replication, "replication"),
                Objects.requireNonNull(metrics, "metrics"));
    }

    @Override
    public void start(FleetUpdateListener listener) {
        BackgroundTasks.startLoop(
                Thread.ofVirtual(),
                "list-watch",
                () -> !stopped,
                () -> readRepeatedly("instance list", this::readInstanceList));
        BackgroundTasks.startLoop(
                Thread.ofVirtual(),
                "change-watch",
                () -> !stopped,
                () -> readRepeatedly("configuration", this::readChanges));
    }

    @Override
    public boolean isUpToDate() {
        return false;
    }

    @Override
    public boolean isConfigurationSettled() {
        // Peers are asked anyway, because this source is never up to date by itself.
        return true;
    }

    @Override
    public StoreRelayReply awaitChanges(StoreRevision afterRevision, long waitMillis) {
        // Peers get the changes of this origin by exchanges.
        return new StoreRelayReply.Unavailable();
    }

    @Override
    public void announceLeaving() {
        // The platform itself lists this instance as leaving.
    }

    @Override
    public void close() {
        stopped = true;
    }

    private void readRepeatedly(String subject, Runnable read) {
        boolean available = true;
        while (!stopped) {
            try {
                read.run();
                if (!available) {
                    LOGGER.atInfo().log("reading the %s from the platform succeeded again", subject);
                }
                available = true;
            } catch (CassiabankException exception) {
                if (available) {
                    LOGGER.atWarning().log(
                            "reading the %s from the platform failed; the last one stays in force: %s",
                            subject, exception.getMessage());
                }
                available = false;
                pauseBeforeNextCheck();
            }
        }
    }

    private void readInstanceList() {
        long index = fleet.view().instances().index();
        if (index == 0 || replication.planner().isWatcher()) {
            metrics.recordStoreCall("list-watch");
            instanceListClient.awaitChange(index, WATCH_TIMEOUT_MILLIS).ifPresent(fleet::install);
            if (index == 0) {
                pauseIfIncomplete();
            }
        } else {
            if (replication.isIsolated()) {
                metrics.recordStoreCall("list-read");
                instanceListClient.awaitChange(0, 0).ifPresent(fleet::install);
            }
            pauseBeforeNextCheck();
        }
    }

    private void readChanges() {
        long revision = fleet.revision();
        if (revision == 0) {
            metrics.recordStoreCall("catch-up");
            if (!fleet.catchUp(changeReader)) {
                pauseIfIncomplete();
            }
        } else if (replication.planner().isWatcher()) {
            metrics.recordStoreCall("change-watch");
            if (changeStore
                    .awaitChange(ChangeReader.changeKey(revision + 1), 0, WATCH_TIMEOUT_MILLIS)
                    .isPresent()) {
                fleet.catchUp(changeReader);
            }
        } else {
            if (replication.isIsolated()) {
                metrics.recordStoreCall("change-read");
                fleet.catchUp(changeReader);
            }
            pauseBeforeNextCheck();
        }
    }

    private void pauseIfIncomplete() {
        if (fleet.revision() == 0 || fleet.view().instances().index() == 0) {
            pauseBeforeNextCheck();
        }
    }

    private static void pauseBeforeNextCheck() {
        try {
            TimeUnit.MILLISECONDS.sleep(ExchangePlanner.nextCheckDelayMillis(ThreadLocalRandom.current()));
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
