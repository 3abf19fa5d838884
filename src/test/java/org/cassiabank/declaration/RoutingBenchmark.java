package org.cassiabank.declaration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures routing a request, and applying and validating a change, at the two-year target scale. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class RoutingBenchmark {
    private static final int SERVICES = 8_600;

    @Param({"360000"})
    int selectors;

    /** Whether selectors differ by path, or share the path of their service and differ by customer pattern. */
    @Param({"paths", "callers"})
    String spread;

    private final SplittableRandom random = new SplittableRandom(1);
    private Configuration configuration;
    private RequestRouter router;

    public static Configuration configuration(int selectorCount, boolean byPath) {
        List<Declaration> declarations = new ArrayList<>();
        for (int index = 0; index < SERVICES; index++) {
            declarations.add(new ServiceDeclaration("service-" + index, 2, 5, 1_000));
        }
        for (int index = 0; index < selectorCount; index++) {
            declarations.add(selector(index, byPath, 1));
        }
        return Configuration.empty().withChanges(1, declarations, List.of());
    }

    static Selector selector(int selectorNumber, boolean byPath, int weight) {
        String service = "service-" + selectorNumber % SERVICES;
        String path = "/" + service + (byPath ? "/resource-" + selectorNumber : "/resource");
        String customerPattern = byPath ? "*" : "customer-" + selectorNumber;
        return Selector.forAllHosts(
                "selector-" + selectorNumber,
                service,
                Set.of("GET"),
                path,
                customerPattern,
                Map.of(),
                weight,
                true,
                CostHint.LEARNED,
                0);
    }

    @Setup
    public void build() {
        configuration = configuration(selectors, spread.equals("paths"));
        router = RequestRouter.of(configuration);
    }

    @Benchmark
    public Optional<Selector> route() {
        int selectorNumber = random.nextInt(selectors);
        Selector expected = selector(selectorNumber, spread.equals("paths"), 1);
        return router.route("GET", expected.path() + "/items/17", "customer-" + selectorNumber, random);
    }

    /** Measures the part of {@link #route} that creates the request, for subtraction. */
    @Benchmark
    public Selector createRequestOnly() {
        return selector(random.nextInt(selectors), spread.equals("paths"), 1);
    }

    @Benchmark
    public Configuration applyChange() {
        Selector changed = selector(random.nextInt(selectors), spread.equals("paths"), 2);
        return configuration.withChanges(2, List.of(changed), List.of());
    }

    @Benchmark
    public RequestRouter applyChangeAndUpdateRouter() {
        Selector changed = selector(random.nextInt(selectors), spread.equals("paths"), 2);
        return router.withConfiguration(configuration.withChanges(2, List.of(changed), List.of()));
    }

    @Benchmark
    public RequestRouter buildRouter() {
        return RequestRouter.of(configuration);
    }

    @Benchmark
    public int validate() {
        return ConfigurationValidator.validate("benchmark", configuration).size();
    }

    @Benchmark
    public int validateChange() {
        Selector changed = selector(random.nextInt(selectors), spread.equals("paths"), 2);
        Configuration newConfiguration = configuration.withChanges(2, List.of(changed), List.of());
        return ConfigurationValidator.validateChange("benchmark", router, newConfiguration)
                .size();
    }

    /** Returns the heap memory in use after garbage collection, in bytes. */
    public static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int round = 0; round < 3; round++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
