package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * Sends the requests of a schedule at their intended times, each on its own virtual thread, while a fault script runs.
 */
public final class LoadRunner {
    private static final long START_DELAY_NANOS = 100_000_000;
    private static final long REPEAT_DELAY_MILLIS = 100;

    private final LoadBalancer balancer;
    private final LoadSettings settings;

    private LoadRunner(LoadBalancer balancer, LoadSettings settings) {
        this.balancer = balancer;
        this.settings = settings;
    }

    /**
     * Creates a runner, which can run several schedules one after the other.
     *
     * @param balancer the load balancer that selects the address of each request
     * @param settings how requests are sent
     * @return the runner
     */
    public static LoadRunner create(LoadBalancer balancer, LoadSettings settings) {
        return new LoadRunner(balancer, settings);
    }

    /**
     * Runs a schedule and returns when all requests and steps of the fault script have completed.
     *
     * @param schedule the schedule
     * @param script the fault script, which starts at the same time as the schedule
     * @return one sample for each request sent, repeats included
     * @throws InterruptedException if the thread is interrupted
     * @throws IllegalStateException if a step of the script failed
     */
    public Samples run(ArrivalSchedule schedule, FaultScript script) throws InterruptedException {
        return run(schedule, script, () -> false);
    }

    /**
     * Runs a schedule until its end or until a condition holds, and returns when all sent requests and all steps of the
     * fault script have completed.
     *
     * @param schedule the schedule
     * @param script the fault script, which starts at the same time as the schedule
     * @param stopCondition the condition, evaluated before each request
     * @return one sample for each request sent, repeats included
     * @throws InterruptedException if the thread is interrupted
     * @throws IllegalStateException if a step of the script failed
     */
    public Samples run(ArrivalSchedule schedule, FaultScript script, BooleanSupplier stopCondition)
            throws InterruptedException {
        Queue<Sample> samples = new ConcurrentLinkedQueue<>();
        RequestSender sender = RequestSender.create(balancer, settings);
        long startNanos = System.nanoTime() + START_DELAY_NANOS;
        List<String> scriptFailures = new ArrayList<>();
        Thread scriptThread = Thread.ofPlatform().name("fault-script").start(() -> {
            try {
                scriptFailures.addAll(script.run(startNanos));
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            } catch (RuntimeException exception) {
                // The remaining steps do not run, so the samples tell nothing about them.
                scriptFailures.add(exception.toString());
            }
        });
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            for (Arrival arrival : schedule.arrivals()) {
                if (stopCondition.getAsBoolean()) {
                    break;
                }
                long dueNanos = startNanos + arrival.offsetNanos();
                long remainingNanos = dueNanos - System.nanoTime();
                while (remainingNanos > 0) {
                    LockSupport.parkNanos(remainingNanos);
                    remainingNanos = dueNanos - System.nanoTime();
                }
                executor.execute(() -> sendWithRepeats(sender, arrival, dueNanos, samples));
            }
        }
        scriptThread.join();
        sender.close();
        if (!scriptFailures.isEmpty()) {
            throw new IllegalStateException("the fault script failed: " + String.join("; ", scriptFailures));
        }
        return new Samples(new ArrayList<>(samples));
    }

    private void sendWithRepeats(RequestSender sender, Arrival arrival, long dueNanos, Queue<Sample> samples) {
        Sample sample = sender.send(arrival, 0, dueNanos);
        samples.add(sample);
        if (!arrival.kind().unrepeatable()) {
            return;
        }
        for (int repeatNumber = 1; repeatNumber <= settings.maximumRepeats(); repeatNumber++) {
            if (sample.outcome() == ObservedOutcome.ANSWERED || sample.outcome() == ObservedOutcome.FAILED) {
                return;
            }
            try {
                Thread.sleep(REPEAT_DELAY_MILLIS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                return;
            }
            sample = sender.send(arrival, repeatNumber, System.nanoTime());
            samples.add(sample);
        }
    }
}
