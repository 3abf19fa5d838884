package org.cassiabank.kernel;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against services that keep running after the start of a later one has failed, and against services that are
 * stopped before those that depend on them.
 */
class KernelTest {
    private final List<String> events = new ArrayList<>();

    @Test
    void servicesStartInRegistrationOrderAndStopInReverse() {
        Kernel kernel = kernelWith(recordingService("first", false), recordingService("second", false));
        kernel.start();
        kernel.close();
        kernel.close();
        assertThat(events).containsExactly("start first", "start second", "stop second", "stop first");
    }

    @Test
    void aFailedStartStopsTheServicesAlreadyStarted() {
        Kernel kernel = kernelWith(recordingService("first", false), recordingService("second", true));
        assertThatThrownBy(kernel::start).isInstanceOf(CassiabankException.class);
        assertThat(events).containsExactly("start first", "stop first");
    }

    @Test
    void aServiceThatFailsToStopDoesNotKeepTheOthersRunning() {
        Kernel kernel = kernelWith(recordingService("first", false), new KernelService() {
            @Override
            public void start(Kernel startedKernel) {
                events.add("start second");
            }

            @Override
            public void stop() {
                throw new IllegalStateException("second cannot stop");
            }
        });
        kernel.start();
        assertThatThrownBy(kernel::close).hasMessage("second cannot stop");
        assertThat(events).containsExactly("start first", "start second", "stop first");
    }

    @Test
    void aMissingServiceIsReportedByNameAndADuplicateNameIsRejected() {
        Kernel kernel = Kernel.create();
        ServiceName<String> name = ServiceName.of("absent", String.class);
        assertThat(kernel.find(name)).isEmpty();
        assertThatThrownBy(() -> kernel.get(name)).hasMessageContaining("absent");
        kernel.register(name, "present");
        assertThatThrownBy(() -> kernel.register(name, "again")).isInstanceOf(IllegalStateException.class);
        assertThat(kernel.get(name)).isEqualTo("present");
    }

    private Kernel kernelWith(KernelService first, KernelService second) {
        return Kernel.create()
                .register(ServiceName.of("first", KernelService.class), first)
                .register(ServiceName.of("second", KernelService.class), second);
    }

    private KernelService recordingService(String name, boolean failsToStart) {
        return new KernelService() {
            @Override
            public void start(Kernel kernel) {
                if (failsToStart) {
                    throw CassiabankException.of(ErrorCode.START_FAILED, name);
                }
                events.add("start " + name);
            }

            @Override
            public void stop() {
                events.add("stop " + name);
            }
        };
    }
}
