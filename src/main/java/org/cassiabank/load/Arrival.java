package org.cassiabank.load;

/**
 * One request of a schedule.
 *
 * @param index the number in the schedule, from 0
 * @param offsetNanos the intended send time since the start, in nanoseconds
 * @param phase the phase
 * @param kind the kind
 * @param callerNumber the number of the caller
 * @param workMillis the service time that the backend server is asked for, in milliseconds
 */
public record Arrival(
        int index, long offsetNanos, Phase phase, RequestKind kind, int callerNumber, double workMillis) {}
