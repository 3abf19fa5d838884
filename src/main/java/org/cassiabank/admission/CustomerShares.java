package org.cassiabank.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts arrived and served requests by customer.
 *
 * <p>The counts answer the load of a customer that sends many times its share. Such a customer loses the precedence
 * that its urgency gives and waits for its own slots only, but is still served at least a third as often as all. All
 * counts decay exponentially at the same rate, so increments are multiplied by a growing factor instead. Instances are
 * not thread-safe.
 */
final class CustomerShares {
    /** Counts halve in this time, the same as for urgencies. */
    private static final double COUNT_HALF_LIFE_MILLIS = 5_000;

    /** Users consider a customer starved below a quarter of the served share of all; a third adds a margin. */
    private static final double STARVED_SHARE = 1.0 / 3;

    /** The decayed number of arrivals below which a served share is not significant. */
    private static final double MINIMUM_ARRIVED_REQUESTS = 4;

    /** The part of a customer's slots that is assumed for its less urgent work, however much urgent work it sends. */
    private static final double MINIMUM_SLOT_SHARE = 0.1;

    /** A customer is forgotten when its decayed arrivals fall below this, about 20 s after a single request. */
    private static final double FORGOTTEN_ARRIVALS = 0.05;

    /** The factor of the increments is reset after this time, long before it exceeds the range of a double. */
    private static final double RESCALE_INTERVAL_MILLIS = 100 * COUNT_HALF_LIFE_MILLIS;

    private final Map<String, Counts> countsByCustomer = new HashMap<>();
    private final Counts total = new Counts();
    private long scaleBaseMillis;
    private long nextSweepMillis;

    /** Records a request; an additional attempt is not counted, because a customer must not gain by retrying. */
    void recordArrival(AdmissionRequest request, double costMicros, long nowMillis) {
        double scale = scale(nowMillis);
        Counts counts = countsWithWeight(request);
        if (!request.hints().isAdditionalAttempt()) {
            counts.recordArrival(scale, costMicros);
            counts.arrivedMicrosByRank.merge(request.urgencyRank(), scale * costMicros, Double::sum);
            total.recordArrival(scale, costMicros);
        }
    }

    /** Records a granted slot. */
    void recordGrant(AdmissionRequest request, double costMicros, long nowMillis) {
        double scale = scale(nowMillis);
        Counts counts = countsWithWeight(request);
        int grants = request.hints().isAdditionalAttempt() ? 0 : 1;
        counts.recordGrant(scale, grants, costMicros);
        total.recordGrant(scale, grants, costMicros);
    }

    /** Returns the counts of a customer, which may have been forgotten while its request waited. */
    private Counts countsWithWeight(AdmissionRequest request) {
        Counts counts = countsByCustomer.computeIfAbsent(request.customer(), name -> new Counts());
        total.weight += request.customerWeight() - counts.weight;
        counts.weight = request.customerWeight();
        return counts;
    }

    /** Tells whether the customer's served share is so low that its requests are served before all others. */
    boolean isStarved(String customer, long nowMillis) {
        double scale = scale(nowMillis);
        Counts counts = countsByCustomer.get(customer);
        return counts != null
                && counts.arrivedRequests >= MINIMUM_ARRIVED_REQUESTS * scale
                && counts.grantedRequests * total.arrivedRequests
                        < STARVED_SHARE * total.grantedRequests * counts.arrivedRequests;
    }

    /** Tells whether the customer got so much more than its weighted share that its urgency no longer counts. */
    boolean isOverShare(String customer) {
        Counts counts = countsByCustomer.get(customer);
        return counts != null && counts.grantedMicros * total.weight > counts.weight * total.grantedMicros;
    }

    /**
     * Estimates how many slots a customer gets for work of one urgency while it has such work queued and all customers
     * send as they did recently.
     *
     * @param customer the name of the customer
     * @param urgencyRank the rank; 0 is the most urgent
     * @param slots the slots that all customers share
     * @param nowMillis the current time in milliseconds
     * @return its weighted share, or what the others leave if that is more, less what its more urgent work takes; at
     *     most {@code slots}
     */
    double availableSlots(String customer, int urgencyRank, double slots, long nowMillis) {
        Counts counts = countsByCustomer.get(customer);
        if (counts == null) {
            return slots;
        }
        double microsPerSlot = scale(nowMillis) * 1_000 * COUNT_HALF_LIFE_MILLIS / Math.log(2);
        double slotsOfOthers = (total.arrivedMicros - counts.arrivedMicros) / microsPerSlot;
        double customerSlots = Math.min(slots, Math.max(slots * counts.weight / total.weight, slots - slotsOfOthers));
        double moreUrgentMicros = counts.arrivedMicrosByRank.headMap(urgencyRank).values().stream()
                .mapToDouble(Double::doubleValue)
                .sum();
        return Math.max(MINIMUM_SLOT_SHARE * customerSlots, customerSlots - moreUrgentMicros / microsPerSlot);
    }

    private double scale(long nowMillis) {
        if (nowMillis >= nextSweepMillis) {
            double scale = scaleAt(nowMillis);
            countsByCustomer.values().removeIf(counts -> counts.arrivedRequests < FORGOTTEN_ARRIVALS * scale);
            // Summed up anew, so that rounding errors do not accumulate.
            total.weight = countsByCustomer.values().stream()
                    .mapToDouble(counts -> counts.weight)
                    .sum();
            nextSweepMillis = nowMillis + (long) COUNT_HALF_LIFE_MILLIS;
            if (nowMillis - scaleBaseMillis > RESCALE_INTERVAL_MILLIS) {
                countsByCustomer.values().forEach(counts -> counts.divideBy(scale));
                total.divideBy(scale);
                scaleBaseMillis = nowMillis;
            }
        }
        return scaleAt(nowMillis);
    }

    private double scaleAt(long nowMillis) {
        return Math.pow(2, (nowMillis - scaleBaseMillis) / COUNT_HALF_LIFE_MILLIS);
    }

    /** Scaled counts of one customer, or of all customers; the weight is not scaled. */
    private static final class Counts {
        private final TreeMap<Integer, Double> arrivedMicrosByRank = new TreeMap<>();
        private double weight;
        private double arrivedRequests;
        private double arrivedMicros;
        private double grantedRequests;
        private double grantedMicros;

        private void recordArrival(double scale, double costMicros) {
            arrivedRequests += scale;
            arrivedMicros += scale * costMicros;
        }

        private void recordGrant(double scale, int grants, double costMicros) {
            grantedRequests += scale * grants;
            grantedMicros += scale * costMicros;
        }

        private void divideBy(double scale) {
            arrivedRequests /= scale;
            arrivedMicros /= scale;
            grantedRequests /= scale;
            grantedMicros /= scale;
            arrivedMicrosByRank.replaceAll((rank, micros) -> micros / scale);
        }
    }
}
