package org.cassiabank.proxy;

import java.io.IOException;
import java.util.Arrays;

/** Measures the first requests of a fresh process without a warm start, or after one with the argument "warm". */
final class WarmStartBenchmark {
    private static final int REQUESTS = 50;

    private WarmStartBenchmark() {}

    public static void main(String[] arguments) throws IOException {
        ProxySettings settings = WarmStartTest.settings();
        long startNanos = System.nanoTime();
        if (Arrays.asList(arguments).contains("warm")) {
            WarmStart.create(settings, true).run();
        }
        long warmNanos = System.nanoTime() - startNanos;
        double[] millis = new double[REQUESTS];
        try (RequestPathExercise path = RequestPathExercise.open(settings)) {
            for (int request = 0; request < REQUESTS; request++) {
                long sentNanos = System.nanoTime();
                path.send();
                millis[request] = (System.nanoTime() - sentNanos) / 1e6;
            }
        }
        double first = millis[0];
        Arrays.sort(millis);
        System.out.printf(
                "warm start %.0f ms; first %.1f ms, median %.2f ms, slowest %.1f ms, sum of %d %.0f ms%n",
                warmNanos / 1e6,
                first,
                millis[REQUESTS / 2],
                millis[REQUESTS - 1],
                REQUESTS,
                Arrays.stream(millis).sum());
    }
}
