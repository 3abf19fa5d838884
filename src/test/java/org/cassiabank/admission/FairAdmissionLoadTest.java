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
    private static final double[] USUAL_PER_SECOND = {20, 14, 10, 8, 6, 5, 4, 2, 1};
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

    /**
     * Guards against requests that are held and then refused. One of nine customers sends 5 times its usual 20
     * requests/s for 5 s, all servers refuse 55% of what they get for 8 s, and half of them are unusable in turn.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void requestsThatCannotBeServedAreRefusedSoon(long seed) {
        FairAdmissionSimulation before = evidence(false, seed);
        FairAdmissionSimulation after = evidence(true, seed);
        for (int customer = 0; customer < USUAL_PER_SECOND.length; customer++) {
            String name = "customer-" + customer;
            Predicate<Call> ofCustomer = call -> call.customer().equals(name);
            List<Call> callsBefore = before.calls(15_000, 26_000, ofCustomer);
            List<Call> callsAfter = after.calls(15_000, 26_000, ofCustomer);
            printFigures(
                    "seed %d %s: served %.2f on time %.2f, without the rules %.2f and %.2f",
                    seed,
                    name,
                    share(callsAfter, Call::isServed),
                    share(callsAfter, Call::isOnTime),
                    share(callsBefore, Call::isServed),
                    share(callsBefore, Call::isOnTime));
            if (customer != 0) {
                // Requests that arrive in the last second before the servers refuse may still wait when they do.
                List<Call> duringBurst = after.calls(15_000, 17_000, ofCustomer);
                assertThat(share(duringBurst, Call::isOnTime)).as(name).isEqualTo(1);
            }
        }
        Predicate<Call> heldAndRefused =
                call -> call.isRefused() && call.heldMillis() > FairAdmissionSimulation.TARGET_MILLIS / 8.0;
        double heldBefore = share(before.calls(15_000, 26_000, Call::isRefused), heldAndRefused);
        double heldAfter = share(after.calls(15_000, 26_000, Call::isRefused), heldAndRefused);
        printFigures(
                "seed %d: refused after more than an eighth of the target %.3f of refused, without the rules %.3f",
                seed, heldAfter, heldBefore);
        assertThat(after.calls(15_000, 26_000, Call::isRefused))
                .filteredOn(call -> call.refusal().reason() != RefusalReason.RETRY_BUDGET)
                .allSatisfy(call -> assertThat(call.refusal().retryAfterMillis())
                        .isBetween(10L, (long) call.remainingMillisAtRefusal() / 3 + 1));
        assertThat(heldAfter).isLessThan(0.05).isLessThan(heldBefore / 3);
    }

    private static FairAdmissionSimulation evidence(boolean fair, long seed) {
        FairAdmissionSimulation simulation = FairAdmissionSimulation.create(18, 3, fair, seed)
                .setHalfUnusable(UNTIL_MILLIS)
                .setShedShare(time -> time >= 18_000 && time < 26_000 ? 0.55 : 0);
        for (int customer = 0; customer < USUAL_PER_SECOND.length; customer++) {
            double usual = USUAL_PER_SECOND[customer];
            boolean hot = customer == 0;
            simulation.addCustomer(
                    "customer-" + customer,
                    usual * USUAL_PER_SECOND.length / 70,
                    0,
                    UNTIL_MILLIS,
                    time -> hot && time >= 15_000 && time < 20_000 ? 5 * usual : usual);
        }
        return simulation.run();
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
