package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cassiabank.admission.CustomerWeights;
import org.cassiabank.declaration.Configuration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against requests that all calculate the weights of all customers at once after a change of the configuration.
 */
@Timeout(10)
class ConfiguredWeightsTest {

    @Test
    void whileTheWeightsOfANewConfigurationAreCalculatedOtherRequestsUseTheFormerOnes() throws Exception {
        CountDownLatch calculating = new CountDownLatch(1);
        CountDownLatch mayEnd = new CountDownLatch(1);
        AtomicInteger calculations = new AtomicInteger();
        ConfiguredWeights weights = ConfiguredWeights.create(configuration -> {
            calculations.incrementAndGet();
            calculating.countDown();
            await(mayEnd);
            return CustomerWeights.of(Map.of("north", 10.0, "south", 30.0));
        });
        Configuration changed = Configuration.empty();
        CompletableFuture<Double> first = CompletableFuture.supplyAsync(() -> weights.weight(changed, "north"));
        await(calculating);
        CompletableFuture<Double> second = CompletableFuture.supplyAsync(() -> weights.weight(changed, "north"));
        assertThat(second.completeOnTimeout(-1.0, 1, TimeUnit.SECONDS).get()).isEqualTo(1);
        mayEnd.countDown();
        assertThat(first.get()).isEqualTo(0.5);
        assertThat(weights.weight(changed, "south")).isEqualTo(1.5);
        assertThat(calculations).hasValue(1);
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
