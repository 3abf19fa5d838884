package org.cassiabank.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import org.cassiabank.admission.FairAdmissionSimulation.Call;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays competing load without a network and checks what the callers of each customer get under the rules of fair
 * admission.
 */
class FairAdmissionLoadTest {
    private static final double UNTIL_MILLIS = 30_000;
    private static final double ESTIMATED_MILLIS = 3_000;

    /** Guards against shares that do not follow the weights while all customers wait: 100 requests/s for 50 slots. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void customersOfTripleWeightGetTripleTheSlots(long seed) {
        FairAdmissionSimulation simulation = FairAdmissionSimulation.create(6, 2, true, seed)
                .addCustomer("large", 1.5, 0, UNTIL_MILLIS, time -> 50)
                .addCustomer("small", 0.5, 0, UNTIL_MILLIS, time -> 50)
                .run();
        double ratio = servedShare(simulation, "large") / servedShare(simulation, "small");
        printFigures("seed %d: served requests of triple weight to single weight %.2f", seed, ratio);
        assertThat(ratio).isBetween(2.4, 3.6);
    }

    /** Guards against a customer that a tiny weight or a late urgency starves beside others that want all slots. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void noCustomerAndNoUrgencyIsServedLessThanAQuarterAsOftenAsAll(long seed) {
        FairAdmissionSimulation simulation = FairAdmissionSimulation.create(6, 2, true, seed)
                .addCustomer("usual", 1, 0, UNTIL_MILLIS, time -> 40)
                .addCustomer("late", 1, 5, UNTIL_MILLIS, time -> 40)
                .addCustomer("tiny", 0.01, 0, UNTIL_MILLIS, time -> 40)
                .run();
        double all = share(simulation.calls(ESTIMATED_MILLIS, UNTIL_MILLIS, call -> true), Call::isServed);
        printFigures(
                "seed %d: served of all %.2f, usual %.2f, late %.2f, tiny %.2f",
                seed,
                all,
                servedShare(simulation, "usual"),
                servedShare(simulation, "late"),
                servedShare(simulation, "tiny"));
        assertThat(servedShare(simulation, "tiny")).isGreaterThan(0.25 * all);
        assertThat(servedShare(simulation, "late")).isGreaterThan(0.25 * all);
    }

    /** Guards against an urgent customer that takes the slots of others by sending more than its share. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void anUrgentCustomerThatFloodsTheServiceDelaysOnlyItself(long seed) {
        FairAdmissionSimulation simulation = FairAdmissionSimulation.create(6, 2, true, seed)
                .addCustomer("hot", 1, 0, UNTIL_MILLIS, time -> 200)
                .addCustomer("calm", 1, 3, UNTIL_MILLIS, time -> 15)
                .addCustomer("quiet", 1, 3, UNTIL_MILLIS, time -> 5)
                .run();
        printFigures(
                "seed %d: served of hot %.3f, calm %.3f, quiet %.3f",
                seed,
                servedShare(simulation, "hot"),
                servedShare(simulation, "calm"),
                servedShare(simulation, "quiet"));
        assertThat(servedShare(simulation, "calm")).isGreaterThan(0.9);
        assertThat(servedShare(simulation, "quiet")).isGreaterThan(0.9);
    }

    private static double servedShare(FairAdmissionSimulation simulation, String customer) {
        return share(
                simulation.calls(
                        ESTIMATED_MILLIS, UNTIL_MILLIS, call -> call.customer().equals(customer)),
                Call::isServed);
    }

    private static double share(List<Call> calls, Predicate<Call> condition) {
        return calls.stream().filter(condition).count() / (double) calls.size();
    }

    private static void printFigures(String format, Object... arguments) {
        System.out.printf(Locale.ROOT, format + "%n", arguments);
    }
}
