package org.cassiabank.admission;

/**
 * The settings of a {@link SlotScheduler}. Some mechanisms can be switched off so that their effect can be measured.
 *
 * @param separateLongWork whether short work is protected from long work
 * @param refuseByPredictedWait whether requests are refused on arrival because of their predicted wait
 * @param queueLimit the maximum number of queued requests of each cost class, at least 1
 * @param maximumShortWorkWaitMillis the longest predicted wait at which short work is queued, in milliseconds, at least
 *     1
 * @param maximumLongWorkWaitMillis the longest predicted wait at which long work is queued, in milliseconds, at least 1
 * @param initialLongWorkShare the share of all slots that long work may hold without ageing, above 0 and at most 1
 * @param longWorkAgeingMillis the wait at which the limit of long work stops growing, in milliseconds, at least 1
 * @param ticketLifetimeMillis the time after which a ticket that is not renewed expires, in milliseconds, at least 1
 * @param leaseGraceMillis the time between the deadline and the expiry of a lease, in milliseconds, not negative
 * @param initialBackoffMillis the backoff after the first request that a server shed, in milliseconds, not negative
 * @param unrepeatableProbeDelayMillis the time without a request after which an unrepeatable request may test a server
 *     on probation, in milliseconds; 0 if only repeatable requests may
 * @param fairAdmission whether fair admission may be in force for services without customers
 */
public record SchedulerSettings(
        boolean separateLongWork,
        boolean refuseByPredictedWait,
        int queueLimit,
        long maximumShortWorkWaitMillis,
        long maximumLongWorkWaitMillis,
        double initialLongWorkShare,
        long longWorkAgeingMillis,
        long ticketLifetimeMillis,
        long leaseGraceMillis,
        long initialBackoffMillis,
        long unrepeatableProbeDelayMillis,
        boolean fairAdmission) {

    /**
     * Checks the ranges of the numbers.
     *
     * @throws IllegalArgumentException if a number is out of its range
     */
    public SchedulerSettings {
        if (queueLimit < 1) {
            throw new IllegalArgumentException("queue limit is " + queueLimit + ", expected at least 1");
        }
        if (!(initialLongWorkShare > 0 && initialLongWorkShare <= 1)) {
            throw new IllegalArgumentException(
                    "share of long work is " + initialLongWorkShare + ", expected above 0, at most 1");
        }
        if (Math.min(maximumShortWorkWaitMillis, maximumLongWorkWaitMillis) < 1
                || Math.min(longWorkAgeingMillis, ticketLifetimeMillis) < 1) {
            throw new IllegalArgumentException("waiting times must be at least 1 ms");
        }
        if (Math.min(unrepeatableProbeDelayMillis, Math.min(leaseGraceMillis, initialBackoffMillis)) < 0) {
            throw new IllegalArgumentException("grace and backoff times must not be negative");
        }
    }

    /**
     * Creates settings under which fair admission needs customers.
     *
     * @param separateLongWork whether short work is protected from long work
     * @param refuseByPredictedWait whether requests are refused on arrival because of their predicted wait
     * @param queueLimit the maximum number of queued requests of each cost class, at least 1
     * @param maximumShortWorkWaitMillis the longest predicted wait at which short work is queued, in milliseconds
     * @param maximumLongWorkWaitMillis the longest predicted wait at which long work is queued, in milliseconds
     * @param initialLongWorkShare the share of all slots that long work may hold without ageing
     * @param longWorkAgeingMillis the wait at which the limit of long work stops growing, in milliseconds
     * @param ticketLifetimeMillis the time after which a ticket that is not renewed expires, in milliseconds
     * @param leaseGraceMillis the time between the deadline and the expiry of a lease, in milliseconds
     * @param initialBackoffMillis the backoff after the first request that a server shed, in milliseconds
     * @param unrepeatableProbeDelayMillis the time before an unrepeatable request tests a server, in milliseconds
     */
    public SchedulerSettings(
            boolean separateLongWork,
            boolean refuseByPredictedWait,
            int queueLimit,
            long maximumShortWorkWaitMillis,
            long maximumLongWorkWaitMillis,
            double initialLongWorkShare,
            long longWorkAgeingMillis,
            long ticketLifetimeMillis,
            long leaseGraceMillis,
            long initialBackoffMillis,
            long unrepeatableProbeDelayMillis) {
        this(
                separateLongWork,
                refuseByPredictedWait,
                queueLimit,
                maximumShortWorkWaitMillis,
                maximumLongWorkWaitMillis,
                initialLongWorkShare,
                longWorkAgeingMillis,
                ticketLifetimeMillis,
                leaseGraceMillis,
                initialBackoffMillis,
                unrepeatableProbeDelayMillis,
                false);
    }

    /**
     * Returns the default settings. The maximum wait of short work, 500 ms, is a quarter of the 2 s in which normal
     * latency must return after a peak, so that the queue drains in time at 75% load.
     *
     * @return the settings that apply unless others are configured
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
        return with(separate, refuseByPredictedWait, unrepeatableProbeDelayMillis, fairAdmission);
    }

    /**
     * Returns these settings with the refusal by predicted wait switched on or off.
     *
     * @param refuse whether requests are refused on arrival because of their predicted wait
     * @return the changed settings
     */
    public SchedulerSettings withRefuseByPredictedWait(boolean refuse) {
        return with(separateLongWork, refuse, unrepeatableProbeDelayMillis, fairAdmission);
    }

    /**
     * Returns these settings with another time after which unrepeatable requests test servers on probation.
     *
     * @param probeDelayMillis the time without a request before such a test, in milliseconds; 0 if only repeatable
     *     requests may test a server
     * @return the changed settings
     */
    public SchedulerSettings withUnrepeatableProbeDelayMillis(long probeDelayMillis) {
        return with(separateLongWork, refuseByPredictedWait, probeDelayMillis, fairAdmission);
    }

    /**
     * Returns these settings with fair admission without customers allowed or not.
     *
     * @param fair whether fair admission may be in force for services without customers
     * @return the changed settings
     */
    public SchedulerSettings withFairAdmission(boolean fair) {
        return with(separateLongWork, refuseByPredictedWait, unrepeatableProbeDelayMillis, fair);
    }

    private SchedulerSettings with(boolean separate, boolean refuse, long probeDelayMillis, boolean fair) {
        return new SchedulerSettings(
                separate,
                refuse,
                queueLimit,
                maximumShortWorkWaitMillis,
                maximumLongWorkWaitMillis,
                initialLongWorkShare,
                longWorkAgeingMillis,
                ticketLifetimeMillis,
                leaseGraceMillis,
                initialBackoffMillis,
                probeDelayMillis,
                fair);
    }
}
