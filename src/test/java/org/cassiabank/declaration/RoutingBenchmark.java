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

/** Measures routing a request and following a change at the two-year target scale. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class RoutingBenchmark {
    private static final int SERVICES = 8_600;

    @Param({"360000"})
    int selectors;

    /** Whether selectors differ by path, or share the paths of their service and differ by caller. */
    @Param({"paths", "callers"})
    String spread;

    private final SplittableRandom random = new SplittableRandom(1);
    private Configuration configuration;
    private RequestRouter router;

    public static Configuration configuration(int selectors, boolean byPath) {
        List<Declaration> declarations = new ArrayList<>();
        for (int number = 0; number < SERVICES; number++) {
            declarations.add(new ServiceDeclaration("service-" + number, 2, 5, 1_000));
        }
        for (int number = 0; number < selectors; number++) {
            declarations.add(selector(number, byPath, 1));
        }
        return Configuration.empty().withChanges(1, declarations, List.of());
    }

    static Selector selector(int number, boolean byPath, int weight) {
        String service = "service-" + number % SERVICES;
        String path = "/" + service + (byPath ? "/resource-" + number : "/resource");
        String callers = byPath ? "*" : "customer-" + number;
        return Selector.forAllHosts(
                "selector-" + number,
                service,
                Set.of("GET"),
                path,
                callers,
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
        int number = random.nextInt(selectors);
        Selector wanted = selector(number, spread.equals("paths"), 1);
        return router.route("GET", wanted.path() + "/items/17", "customer-" + number, random);
    }

    /** The part of {@link #route} that creates the request. */
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
        Configuration next = configuration.withChanges(2, List.of(changed), List.of());
        return ConfigurationValidator.validateChange("benchmark", router, next).size();
    }

    /** Returns the memory in use after garbage collection. */
    public static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int round = 0; round < 3; round++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
