package org.cassiabank.proxy;

/**
 * Which daemon schedules the slots of the backend servers.
 */
public enum SchedulingMode {
    /** The owner of a shard grants slots to all entry proxies. */
    OWNER,
    /** Every entry proxy schedules by itself and sees only its own requests. */
    INDEPENDENT
}
