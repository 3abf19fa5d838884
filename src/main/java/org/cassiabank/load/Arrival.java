package org.cassiabank.load;

/**
 * One request of a schedule.
 *
 * @param index the position in the schedule, from 0
 * @param offsetNanos the intended send time since the start of the schedule, in nanoseconds
 * @param phase the phase of the schedule that the request belongs to
 * @param kind the request kind
 * @param callerNumber the number of the caller, from 0
 * @param workMillis the service time that the request asks the backend server for, in milliseconds
 */
public record Arrival(
        int index, long offsetNanos, Phase phase, RequestKind kind, int callerNumber, double workMillis) {}
