package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.Objects;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.revision.ChangeReader;
import org.cassiabank.revision.ChangeStore;
import org.cassiabank.revision.ExchangePlanner;
import org.cassiabank.source.FleetSource;
import org.cassiabank.source.FleetUpdateListener;
import org.cassiabank.store.InstanceListClient;

/**
 * Reads changes and the instance list from the platform. Only the watchers of a failure domain wait there for news;
 * other daemons ask when no peer has answered them for a while.
 */
final class PlatformWatch implements FleetSource {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long WATCH_MILLIS = 10_000;

    private final ChangeStore store;
    private final ChangeReader reader;
    private final InstanceListClient listClient;
    private final FleetState fleet;
    private final Replication replication;
    private final ProxyMetrics metrics;
    private volatile boolean stopped;

    private PlatformWatch(
            ChangeStore store,
            InstanceListClient listClient,
            FleetState fleet,
            Replication replication,
            ProxyMetrics metrics) {
        this.store = store;
        this.reader = ChangeReader.create(store);
        this.listClient = listClient;
        this.fleet = fleet;
        this.replication = replication;
        this.metrics = metrics;
    }

    static PlatformWatch create(
            ChangeStore store,
            InstanceListClient listClient,
            FleetState fleet,
            Replication replication,
            ProxyMetrics metrics) {
        return new PlatformWatch(
                Objects.requireNonNull(store, "store"),
                Objects.requireNonNull(listClient, "listClient"),
                Objects.requireNonNull(fleet, "fleet"),
                Objects.requireNonNull(replication, "replication"),
                Objects.requireNonNull(metrics, "metrics"));
    }

    @Override
    public void start(FleetUpdateListener listener) {
        Thread.ofVirtual().name("list-watch").start(() -> repeat("instance list", this::readList));
        Thread.ofVirtual().name("change-watch").start(() -> repeat("configuration", this::readChanges));
    }

    @Override
    public boolean isUpToDate() {
        return false;
    }

    @Override
    public void announceLeaving() {
        // The platform itself lists this instance as leaving.
    }

    @Override
    public void close() {
        stopped = true;
    }

    private void repeat(String subject, Runnable read) {
        boolean available = true;
        while (!stopped) {
            try {
                read.run();
                if (!available) {
                    LOGGER.atInfo().log("the platform answers again for the %s", subject);
                }
                available = true;
            } catch (CassiabankException exception) {
                if (available) {
                    LOGGER.atWarning().log(
                            "the platform does not answer for the %s, the last one stays in force: %s",
                            subject, exception.getMessage());
                }
                available = false;
                pause();
            }
        }
    }

    private void readList() {
        long index = fleet.view().instances().index();
        if (index == 0 || replication.planner().isWatcher()) {
            metrics.recordStoreCall("list-watch");
            listClient.awaitChange(index, WATCH_MILLIS).ifPresent(fleet::install);
            if (index == 0) {
                pauseWhileEmpty();
            }
        } else {
            if (replication.isIsolated()) {
                metrics.recordStoreCall("list-read");
                listClient.awaitChange(0, 0).ifPresent(fleet::install);
            }
            pause();
        }
    }

    private void readChanges() {
        long revision = fleet.revision();
        if (revision == 0) {
            metrics.recordStoreCall("catch-up");
            if (!fleet.catchUp(reader)) {
                pauseWhileEmpty();
            }
        } else if (replication.planner().isWatcher()) {
            metrics.recordStoreCall("change-watch");
            if (store.awaitChange(ChangeReader.changeKey(revision + 1), 0, WATCH_MILLIS)
                    .isPresent()) {
                fleet.catchUp(reader);
            }
        } else {
            if (replication.isIsolated()) {
                metrics.recordStoreCall("change-read");
                fleet.catchUp(reader);
            }
            pause();
        }
    }

    private void pauseWhileEmpty() {
        if (fleet.revision() == 0 || fleet.view().instances().index() == 0) {
            pause();
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(ExchangePlanner.nextCheckDelayMillis(ThreadLocalRandom.current()));
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
