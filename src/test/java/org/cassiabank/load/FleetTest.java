package org.cassiabank.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against child processes that keep running after their fleet is closed, and against runs whose results are
 * incomplete: fault steps that fail without a report, requests without a sample, executions lost at the kill of a
 * server, or metrics summed over the wrong labels.
 */
@Timeout(120)
class FleetTest {

    @Test
    void aFleetServesRequestsAndTerminatesAllItsProcessesOnClose() throws InterruptedException {
        List<ChildProcess> processes = new ArrayList<>();
        try (Fleet fleet = Fleet.start(FleetSettings.of(1, 0, FleetService.kitchen(2, 4)));
                LoadBalancer balancer = fleet.startBackendBalancer()) {
            processes.add(fleet.platform());
            fleet.backends().forEach(backend -> processes.add(backend.process()));
            assertThat(processes).hasSize(3).allMatch(ChildProcess::isAlive);
            Phase phase = Phase.of("light", 500, 40, RequestKind.order(1));
            ArrivalSchedule schedule = ArrivalSchedule.draw(3, 5, List.of(phase));
            FaultScript script = new FaultScript(List.of(new FaultScript.Step(
                    0,
                    new FaultScript.PostRequest(
                            fleet.backends().getFirst().controlUrl() + "/control/faults",
                            "{\"wrongAnswer\": 1, \"lie\": true}"))));
            // Beside the load, a slow first POST request may come after the last of the 500 ms of requests.
            assertThat(script.run(System.nanoTime())).isEmpty();
            Samples samples = LoadRunner.create(
                            balancer, LoadSettings.of("fleet-test").bypassingProxies())
                    .run(schedule, FaultScript.empty());
            assertThat(samples.size()).isEqualTo(schedule.arrivals().size());
            assertThat(samples.countByOutcome()).containsKeys(ObservedOutcome.ANSWERED, ObservedOutcome.WRONG);
            assertThat(ExecutionCheck.of(samples, fleet.countExecutions()).measures())
                    .allMatch(Measure::passes);
        }
        assertThat(processes).noneMatch(ChildProcess::isAlive);
    }

    @Test
    void executionsRecordedBeforeAServerIsKilledAreStillCounted() throws InterruptedException {
        try (Fleet fleet = Fleet.start(FleetSettings.of(1, 0, FleetService.kitchen(1, 4)));
                LoadBalancer balancer = fleet.startBackendBalancer()) {
            Phase phase = Phase.of("light", 300, 40, RequestKind.order(1));
            ArrivalSchedule schedule = ArrivalSchedule.draw(4, 5, List.of(phase));
            Samples samples = LoadRunner.create(
                            balancer, LoadSettings.of("kill-test").bypassingProxies())
                    .run(schedule, FaultScript.empty());
            fleet.killAndRestart(fleet.backends().getFirst());
            assertThat(fleet.countExecutions())
                    .hasSize(samples.withOutcome(ObservedOutcome.ANSWERED).size());
        }
    }

    @Test
    void aFailedStepOfAFaultScriptIsReported() throws InterruptedException {
        FaultScript script = new FaultScript(List.of(new FaultScript.Step(
                0, new FaultScript.PostRequest("http://" + FreePorts.nextLoopbackAddress() + "/x", "{}"))));
        assertThat(script.run(System.nanoTime())).hasSize(1);
    }

    @Test
    void metricsAreSummedOverLabelsAndOnlyHeapMemoryIsCounted() {
        Map<String, Double> metrics = FleetStatus.parseMetrics("""
                # HELP cassiabank_control_bytes_total Bytes.
                cassiabank_control_bytes_total{kind="acquire"} 10.0
                cassiabank_control_bytes_total{kind="exchange"} 5.5
                jvm_memory_used_bytes{area="heap"} 1.0E7
                jvm_memory_used_bytes{area="nonheap"} 2.0E7
                process_cpu_seconds_total 3.25
                """);
        assertThat(metrics)
                .containsEntry("cassiabank_control_bytes_total", 15.5)
                .containsEntry("jvm_memory_used_bytes", 1.0E7)
                .containsEntry("process_cpu_seconds_total", 3.25);
    }
}
