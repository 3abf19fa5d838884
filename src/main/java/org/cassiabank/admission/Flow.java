package org.cassiabank.admission;

/**
 * The virtual time, in microseconds of work divided by the weight, and the queued work of one customer in one cost
 * class.
 */
final class Flow {
    /**
     * One of this many grants goes to a late request while a customer has both kinds. A late one is then served a third
     * as often as a timely one, the same margin as for urgencies.
     */
    private static final int GRANTS_PER_LATE_GRANT = 4;

    private double virtualTimeMicros;
    private int queuedRequests;
    private double queuedMicros;
    private double weight = 1;
    private int timelyGrantsSinceLate;
    private double addedMicros;
    private double removedMicros;

    double virtualTimeMicros() {
        return virtualTimeMicros;
    }

    int queuedRequests() {
        return queuedRequests;
    }

    double queuedMicros() {
        return queuedMicros;
    }

    double weight() {
        return weight;
    }

    void setWeight(double newWeight) {
        weight = newWeight;
    }

    /** Advances a customer without queued work to the virtual time of the queue, so that idle time gives no credit. */
    void advanceIdleTo(double queueVirtualTimeMicros) {
        if (queuedRequests == 0) {
            virtualTimeMicros = Math.max(virtualTimeMicros, queueVirtualTimeMicros);
        }
    }

    /** Tells whether the next grant is for a late request of the customer, if there is one. */
    boolean isLateTurn() {
        return timelyGrantsSinceLate >= GRANTS_PER_LATE_GRANT - 1;
    }

    void recordGrant(boolean timely) {
        timelyGrantsSinceLate = timely ? timelyGrantsSinceLate + 1 : 0;
    }

    void recordAdded(double costMicros) {
        queuedRequests++;
        queuedMicros += costMicros;
        addedMicros += costMicros;
    }

    void recordRemoved(double costMicros) {
        queuedRequests--;
        removedMicros += costMicros;
        queuedMicros = queuedRequests == 0 ? 0 : queuedMicros - costMicros;
    }

    /** Returns the work that was ever queued, the mark of a ticket that was added last. */
    double addedMicros() {
        return addedMicros;
    }

    /** Estimates the queued work up to a mark, as if requests were removed in the order of their arrival. */
    double queuedMicrosUpTo(double markMicros) {
        return Math.clamp(markMicros - removedMicros, 0, Math.max(0, queuedMicros));
    }

    /** Charges the cost of one request and returns its virtual start time in microseconds. */
    double charge(double costMicros) {
        double startMicros = virtualTimeMicros;
        virtualTimeMicros += costMicros / weight;
        return startMicros;
    }
}
