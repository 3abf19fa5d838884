package org.cassiabank.once;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The records of one keeper: which claim holds which key, and how that claim was concluded.
 *
 * <p>A record of a claim that holds its key or has an outcome is never dropped within its retention time. While the
 * table is full, and until the records of the peers have arrived, the keeper does not vote on keys without a record.
 * Instances are thread-safe. Times must not go backwards.
 */
public final class ClaimTable {
    private final ClaimSettings settings;
    /** The records by idempotency key, in order of their last change, so that expired records come first. */
    private final Map<String, KeyRecord> records = new LinkedHashMap<>();

    private long totalResponseBytes;
    private boolean ready;
    private long incompleteUntilMillis = Long.MIN_VALUE;
    private long nextSweepMillis = Long.MIN_VALUE;

    private ClaimTable(ClaimSettings settings) {
        this.settings = Objects.requireNonNull(settings, "settings");
    }

    /**
     * Creates an empty table that is not ready to vote.
     *
     * @param settings the limits on records and times
     * @return the table
     */
    public static ClaimTable create(ClaimSettings settings) {
        return new ClaimTable(settings);
    }

    /**
     * Sets whether the table may vote on keys without a record. After a start it may do so only when
     * {@link ClaimSettings#claimTimeoutMillis()} have passed and every live peer has then handed over its records: an
     * entry proxy may still count a vote that the keeper gave before it lost its records.
     *
     * @param ready true if the table may vote on keys without a record
     */
    public synchronized void setReady(boolean ready) {
        this.ready = ready;
    }

    /**
     * Tells whether the table may vote on keys without a record.
     *
     * @return the last value of {@link #setReady}
     */
    public synchronized boolean isReady() {
        return ready;
    }

    /**
     * Votes on the claim of a key and records the claim if the key is granted to it.
     *
     * @param key the idempotency key
     * @param claimId the identifier of the claim, never used for another set of keepers or another request
     * @param requestDigest the digest of the request; 0 counts as not known and matches every request
     * @param nowMillis the current time in milliseconds
     * @return the vote; {@link ClaimState#GRANTED} again if the message of a granted claim is repeated
     */
    public synchronized KeeperVote claim(String key, String claimId, long requestDigest, long nowMillis) {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(claimId, "claimId");
        removeExpired(nowMillis);
        KeyRecord existing = records.get(key);
        if (existing != null && !existing.isFree()) {
            return existing.vote(claimId, requestDigest, nowMillis - settings.executionTimeoutMillis());
        }
        boolean blocked = existing != null && existing.isBlocked(claimId, nowMillis - settings.claimTimeoutMillis());
        boolean full = existing == null && !hasRoomForClaim(nowMillis);
        if (!ready || blocked || full || nowMillis < incompleteUntilMillis) {
            return KeeperVote.of(ClaimState.NOT_READY);
        }
        replaceRecord(key, KeyRecord.granted(claimId, requestDigest, nowMillis));
        return KeeperVote.of(ClaimState.GRANTED);
    }

    /**
     * Records the conclusion of a claim. A conclusion that arrives before its claim, or without it, is recorded as
     * well, unless the table already has twice {@link ClaimSettings#maximumRecords()} records. A response that exceeds
     * the limits is recorded as an unknown outcome.
     *
     * @param key the idempotency key
     * @param claimId the identifier of the claim
     * @param conclusion how the claim was concluded
     * @param nowMillis the current time in milliseconds
     */
    public synchronized void conclude(String key, String claimId, ClaimConclusion conclusion, long nowMillis) {
        Objects.requireNonNull(claimId, "claimId");
        removeExpired(nowMillis);
        KeyRecord existing = records.get(Objects.requireNonNull(key, "key"));
        if (existing == null && records.size() >= maximumRecordsWithHandover()) {
            return;
        }
        KeyRecord current = existing == null ? KeyRecord.free(nowMillis) : existing;
        replaceRecord(
                key,
                switch (conclusion) {
                    case ClaimConclusion.Answered answered
                    when fitsLimits(answered.response(), current) ->
                        current.completedBy(claimId, Optional.of(answered.response()), nowMillis);
                    case ClaimConclusion.Answered tooLarge -> current.completedBy(claimId, Optional.empty(), nowMillis);
                    case ClaimConclusion.OutcomeUnknown unknown ->
                        current.completedBy(claimId, Optional.empty(), nowMillis);
                    case ClaimConclusion.Released released -> current.releasedBy(claimId, nowMillis);
                });
    }

    /**
     * Returns the records for a handover. Released claims are left out, because they do not hold a key.
     *
     * @param nowMillis the current time in milliseconds
     * @return one record for each claim that holds a key or has an outcome
     */
    public synchronized List<ClaimRecord> records(long nowMillis) {
        removeExpired(nowMillis);
        List<ClaimRecord> result = new ArrayList<>(records.size());
        records.forEach((key, record) -> record.appendClaimRecords(result, key, nowMillis));
        return result;
    }

    /**
     * Adds records that another keeper handed over. The table accepts them up to twice
     * {@link ClaimSettings#maximumRecords()}. If a record exceeds that limit, the table does not vote on keys without a
     * record for the retention time, because the dropped record may belong to any of them.
     *
     * @param handedOver the records; those older than the retention time are ignored
     * @param nowMillis the current time in milliseconds
     */
    public synchronized void mergeRecords(List<ClaimRecord> handedOver, long nowMillis) {
        removeExpired(nowMillis);
        for (ClaimRecord record : handedOver) {
            KeyRecord existing = records.get(record.key());
            if (existing == null && records.size() >= maximumRecordsWithHandover()) {
                incompleteUntilMillis = nowMillis + settings.retentionMillis();
            } else if (record.ageMillis() < settings.retentionMillis()) {
                KeyRecord current = existing == null ? KeyRecord.free(nowMillis - record.ageMillis()) : existing;
                boolean keepResponse = record.response().isPresent()
                        && fitsLimits(record.response().get(), current);
                replaceRecord(record.key(), current.mergedWith(record, keepResponse, nowMillis));
            }
        }
    }

    /**
     * Returns the number of keys with a record.
     *
     * @return the number, released and not yet removed expired records included
     */
    public synchronized int size() {
        return records.size();
    }

    /**
     * Tells whether a record can be added for a new claim. In a full table the records of released claims are removed
     * first, but only after the claim timeout, during which a delayed message may still claim the key for the released
     * claim. This sweep runs at most once per claim timeout.
     */
    private boolean hasRoomForClaim(long nowMillis) {
        if (records.size() >= settings.maximumRecords() && nowMillis >= nextSweepMillis) {
            nextSweepMillis = nowMillis + settings.claimTimeoutMillis();
            records.values()
                    .removeIf(record ->
                            record.isFree() && !record.isBlocked("", nowMillis - settings.claimTimeoutMillis()));
        }
        return records.size() < settings.maximumRecords();
    }

    private int maximumRecordsWithHandover() {
        return 2 * settings.maximumRecords();
    }

    private boolean fitsLimits(RecordedResponse response, KeyRecord replaced) {
        long size = response.size();
        return size <= settings.maximumBytesPerResponse()
                && totalResponseBytes - replaced.responseBytes() + size <= settings.maximumTotalResponseBytes();
    }

    private void replaceRecord(String key, KeyRecord record) {
        KeyRecord replaced = records.remove(key);
        totalResponseBytes += record.responseBytes() - (replaced == null ? 0 : replaced.responseBytes());
        records.put(key, record);
    }

    private void removeExpired(long nowMillis) {
        Iterator<KeyRecord> oldestFirst = records.values().iterator();
        while (oldestFirst.hasNext()) {
            KeyRecord record = oldestFirst.next();
            if (nowMillis - record.changedAtMillis() < settings.retentionMillis()) {
                return;
            }
            totalResponseBytes -= record.responseBytes();
            oldestFirst.remove();
        }
    }
}
