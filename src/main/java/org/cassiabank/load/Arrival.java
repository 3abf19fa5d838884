package org.cassiabank.load;

/**
 * One request of a schedule.
 *
 * @param number the number in the schedule, from 0
 * @param atNanos the intended send time since the start, in nanoseconds
 * @param phase the phase
 * @param kind the kind
 * @param caller the number of the caller
 * @param workMillis the service time that the backend server is asked for, in milliseconds
 */
public record Arrival(int number, long atNanos, Phase phase, RequestKind kind, int caller, double workMillis) {}
