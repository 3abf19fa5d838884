package org.cassiabank.revision;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cassiabank.declaration.Configuration;
import org.cassiabank.declaration.RequestRouter;
import org.cassiabank.declaration.RoutingBenchmark;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures writing and installing a snapshot of 360,000 selectors, the target scale after two years. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.SingleShotTime)
@OutputTimeUnit(TimeUnit.MILLISECONDS)
public class SnapshotBenchmark {
    /** Whether selectors differ by path, or share the paths of their service and differ by caller. */
    @Param({"true", "false"})
    boolean byPath;

    private Configuration configuration;
    private byte[] snapshot;

    @Setup
    public void createSnapshot() {
        configuration = RoutingBenchmark.configuration(360_000, byPath);
        snapshot = Snapshots.write(configuration);
    }

    @Benchmark
    public byte[] write() {
        return Snapshots.write(configuration);
    }

    @Benchmark
    public boolean install() {
        return ConfigurationHistory.create().installSnapshot(snapshot);
    }

    /** Prints the memory that daemons hold after they have installed a snapshot and built their router. */
    public static void main(String[] arguments) {
        for (boolean byPath : new boolean[] {true, false}) {
            byte[] snapshot = Snapshots.write(RoutingBenchmark.configuration(360_000, byPath));
            List<Object> retained = new ArrayList<>();
            long bytesBefore = RoutingBenchmark.usedBytes();
            ConfigurationHistory history = ConfigurationHistory.create();
            history.installSnapshot(snapshot);
            long bytesWithConfiguration = RoutingBenchmark.usedBytes();
            retained.add(RequestRouter.of(history.configuration()));
            long bytesWithRouter = RoutingBenchmark.usedBytes();
            System.out.println((byPath ? "paths" : "callers") + ": snapshot " + snapshot.length / 1_000
                    + " kB, configuration " + (bytesWithConfiguration - bytesBefore) / 1_000_000 + " MB, router "
                    + (bytesWithRouter - bytesWithConfiguration) / 1_000_000 + " MB, " + retained.size()
                    + " router held");
        }
    }
}
