package org.cassiabank.proxy;

/**
 * Who schedules the slots of the backend servers.
 */
public enum SchedulingMode {
    /** The owner of a shard grants slots to all entry proxies. */
    OWNER,
    /** Every entry schedules on its own and sees only its own requests. */
    INDEPENDENT
}
