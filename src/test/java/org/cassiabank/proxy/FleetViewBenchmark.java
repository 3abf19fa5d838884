package org.cassiabank.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cassiabank.declaration.Configuration;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.declaration.LabelRule;
import org.cassiabank.declaration.Selector;
import org.cassiabank.declaration.ServiceDeclaration;
import org.cassiabank.declaration.VersionedDeclaration;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceListDelta;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the time of one change of the instance list or the configuration, by the number of backend servers. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class FleetViewBenchmark {
    private static final int SERVERS_PER_SERVICE = 21;
    private static final int SERVERS_PER_PROXY = 33;
    private static final int SELECTORS_PER_SERVER = 2;

    @Param({"1800", "18000", "180000"})
    int servers;

    private FleetView view;
    private InstanceListDelta leavingDelta;
    private Configuration changedConfiguration;

    @Setup
    public void createFleet() {
        List<Instance> instances = new ArrayList<>();
        List<VersionedDeclaration> declarations = new ArrayList<>();
        int serviceCount = servers / SERVERS_PER_SERVICE;
        for (int serviceNumber = 0; serviceNumber < serviceCount; serviceNumber++) {
            String serviceName = "service" + serviceNumber;
            declarations.add(new VersionedDeclaration(
                    new LabelRule("label-" + serviceName, serviceName + "-*", Map.of("service", serviceName)), 1));
            declarations.add(new VersionedDeclaration(new ServiceDeclaration(serviceName, 6, 10, 2_000), 1));
            for (int number = 0; number < SERVERS_PER_SERVICE; number++) {
                instances.add(instance(serviceName + "-" + number, InstanceRole.BACKEND, number, InstanceState.LIVE));
            }
            for (int number = 0; number < SERVERS_PER_SERVICE * SELECTORS_PER_SERVER; number++) {
                declarations.add(new VersionedDeclaration(selector(serviceName, number), 1));
            }
        }
        for (int number = 0; number < servers / SERVERS_PER_PROXY; number++) {
            instances.add(instance("proxy-" + number, InstanceRole.PROXY, number, InstanceState.LIVE));
        }
        InstanceList list = InstanceList.of(1, instances);
        Configuration configuration = Configuration.of(1, declarations);
        view = FleetView.empty("region-0").withConfiguration(configuration).withInstances(list);
        Instance leavingServer = instance("service1-1", InstanceRole.BACKEND, 1, InstanceState.LEAVING);
        leavingDelta = list.withDelta(
                        new InstanceListDelta(1, 2, List.of(leavingServer), List.of(), digestWith(list, leavingServer)))
                .orElseThrow()
                .differenceFrom(list);
        changedConfiguration = configuration.withChanges(2, List.of(selector("service1", 0)), List.of());
    }

    @Benchmark
    public FleetView oneServerLeaves() {
        return view.withInstances(view.instances().withDelta(leavingDelta).orElseThrow());
    }

    @Benchmark
    public FleetView oneSelectorChanges() {
        return view.withConfiguration(changedConfiguration);
    }

    private static long digestWith(InstanceList list, Instance changedInstance) {
        List<Instance> instances = new ArrayList<>(list.instances());
        instances.removeIf(instance -> instance.name().equals(changedInstance.name()));
        instances.add(changedInstance);
        return InstanceList.of(2, instances).digest();
    }

    private static Selector selector(String service, int number) {
        return Selector.forAllHosts(
                service + "-" + number,
                service,
                Set.of("GET"),
                "/" + service + "/" + number,
                "*",
                Map.of(),
                1,
                true,
                CostHint.LEARNED,
                0);
    }

    private static Instance instance(String name, InstanceRole role, int number, InstanceState state) {
        return Instance.of(
                name,
                role,
                "10.0.0.1:" + (1_000 + number % 60_000),
                "region-" + number % 8,
                "domain-" + number % 4,
                state);
    }
}
