package org.cassiabank.admission;

/**
 * How busy a shard is, as its owner states it in a reply to a request for a slot.
 *
 * @param usableSlots the slots that may be filled, free ones included
 * @param leasedSlots the slots that requests hold
 * @param queuedRequests the requests that wait for a slot
 */
public record ShardOccupancy(int usableSlots, int leasedSlots, int queuedRequests) {

    /**
     * Returns the part of the load of a shard that entry proxies need.
     *
     * @param load the load
     * @return its slots and its queue
     */
    public static ShardOccupancy of(ShardLoad load) {
        return new ShardOccupancy(load.usableSlots(), load.leasedSlots(), load.queuedRequests());
    }
}
