package org.cassiabank.admission;

/**
 * How busy the servers of a shard are, as its scheduler sees them.
 *
 * @param leasedSlots the slots that requests hold, those of removed servers included
 * @param usableSlots the slots that may be filled now, free ones included
 * @param fullServers the healthy servers without a free slot
 * @param queuedRequests the requests that wait for a slot
 * @param expiredLeases the leases whose outcome was not reported in time, since the scheduler was created
 */
public record ShardLoad(int leasedSlots, int usableSlots, int fullServers, int queuedRequests, long expiredLeases) {}
