package org.cassiabank.admission;

/**
 * The settings of a {@link SlotScheduler}. Mechanisms can be switched off so that their effect can be measured.
 *
 * @param separateLongWork whether short work is protected from long work
 * @param predictWait whether requests are refused on arrival because of their predicted wait
 * @param queueLimit the largest number of queued requests of each cost class
 * @param shortWaitMillis the longest predicted wait that is let build up for short work, in milliseconds
 * @param longWaitMillis the longest predicted wait that is let build up for long work, in milliseconds
 * @param longShare the share of all slots that long work may hold without ageing, above 0 and at most 1
 * @param ageingMillis the wait after which long work has its full share, in milliseconds
 * @param ticketMillis the time after which a ticket that is not renewed is dropped, in milliseconds
 * @param leaseGraceMillis the time by which a lease outlives the deadline, in milliseconds
 * @param backoffMillis the first pause of a server that shed a request, in milliseconds
 * @param unrepeatableProbeDelayMillis how long a server on probation waits for repeatable work before an unrepeatable
 *     request tests it, in milliseconds; 0 if only repeatable work may
 */
public record SchedulerSettings(
        boolean separateLongWork,
        boolean predictWait,
        int queueLimit,
        long shortWaitMillis,
        long longWaitMillis,
        double longShare,
        long ageingMillis,
        long ticketMillis,
        long leaseGraceMillis,
        long backoffMillis,
        long unrepeatableProbeDelayMillis) {

    /**
     * Checks the ranges.
     */
    public SchedulerSettings {
        if (queueLimit < 1) {
            throw new IllegalArgumentException("queue limit is " + queueLimit + ", expected at least 1");
        }
        if (!(longShare > 0 && longShare <= 1)) {
            throw new IllegalArgumentException("share of long work is " + longShare + ", expected above 0, at most 1");
        }
        if (Math.min(shortWaitMillis, longWaitMillis) < 1 || Math.min(ageingMillis, ticketMillis) < 1) {
            throw new IllegalArgumentException("waiting times must be at least 1 ms");
        }
        if (Math.min(unrepeatableProbeDelayMillis, Math.min(leaseGraceMillis, backoffMillis)) < 0) {
            throw new IllegalArgumentException("grace and back-off times must not be negative");
        }
    }

    /**
     * Returns the settings in use unless something else is configured. The longest wait of short work is a quarter of
     * the 2 s in which normal latency must return after a peak, so that the queue drains in time at 75% load.
     *
     * @return the defaults
     */
    public static SchedulerSettings defaults() {
        return new SchedulerSettings(true, true, 8192, 500, 10_000, 0.5, 2000, 500, 250, 50, 0);
    }

    /**
     * Returns these settings with the protection of short work switched on or off.
     *
     * @param separate whether short work is protected from long work
     * @return the changed settings
     */
    public SchedulerSettings withSeparateLongWork(boolean separate) {
        return with(separate, predictWait, unrepeatableProbeDelayMillis);
    }

    /**
     * Returns these settings with the prediction of waits switched on or off.
     *
     * @param predict whether requests are refused on arrival because of their predicted wait
     * @return the changed settings
     */
    public SchedulerSettings withPredictWait(boolean predict) {
        return with(separateLongWork, predict, unrepeatableProbeDelayMillis);
    }

    /**
     * Returns these settings with unrepeatable requests testing servers that no repeatable work reaches.
     *
     * @param millis how long a server on probation waits for repeatable work first, in milliseconds
     * @return the changed settings
     */
    public SchedulerSettings withUnrepeatableProbeDelayMillis(long millis) {
        return with(separateLongWork, predictWait, millis);
    }

    private SchedulerSettings with(boolean separate, boolean predict, long untested) {
        return new SchedulerSettings(
                separate,
                predict,
                queueLimit,
                shortWaitMillis,
                longWaitMillis,
                longShare,
                ageingMillis,
                ticketMillis,
                leaseGraceMillis,
                backoffMillis,
                untested);
    }
}
