package org.cassiabank.admission;

/**
 * The virtual time and the queued work of one customer in one cost class.
 */
final class Flow {
    private double virtualTime;
    private int queued;
    private double queuedMicros;

    double virtualTime() {
        return virtualTime;
    }

    int queued() {
        return queued;
    }

    double queuedMicros() {
        return queuedMicros;
    }

    /** Moves an idle customer to the virtual time of the queue, which takes away what it did not use while idle. */
    void advanceTo(double queueVirtualTime) {
        if (queued == 0) {
            virtualTime = Math.max(virtualTime, queueVirtualTime);
        }
    }

    void added(double costMicros) {
        queued++;
        queuedMicros += costMicros;
    }

    void removed(double costMicros) {
        queued--;
        queuedMicros = queued == 0 ? 0 : queuedMicros - costMicros;
    }

    /** Charges one request and returns its start time. */
    double charge(double costMicros) {
        double start = virtualTime;
        virtualTime += costMicros;
        return start;
    }
}
