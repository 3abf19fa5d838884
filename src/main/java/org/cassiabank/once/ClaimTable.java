package org.cassiabank.once;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The records of one keeper: which claim holds which key, and how it ended.
 *
 * <p>A record in its retention time is never dropped. Without room, and until the records of the peers have arrived,
 * the keeper does not vote on keys it does not know. Instances are thread-safe. Times must not go backwards.
 */
public final class ClaimTable {
    private final ClaimSettings settings;
    /** In order of the last change, so that expired records come first. */
    private final Map<String, KeyRecord> records = new LinkedHashMap<>();

    private long answerBytes;
    private boolean ready;
    private long incompleteUntil = Long.MIN_VALUE;
    private long nextSweepMillis = Long.MIN_VALUE;

    private ClaimTable(ClaimSettings settings) {
        this.settings = Objects.requireNonNull(settings, "settings");
    }

    /**
     * Creates an empty table that is not ready.
     *
     * @param settings the limits
     * @return the table
     */
    public static ClaimTable create(ClaimSettings settings) {
        return new ClaimTable(settings);
    }

    /**
     * States whether the table may vote on keys it does not know. After a start it may do so only when
     * {@link ClaimSettings#claimTimeoutMillis()} have passed and every live peer has then handed over its records: an
     * entry proxy may still count a vote that the keeper gave before it lost its memory.
     *
     * @param ready true to vote
     */
    public synchronized void setReady(boolean ready) {
        this.ready = ready;
    }

    /**
     * Tells whether the table votes on keys it does not know.
     *
     * @return the last value of {@link #setReady}
     */
    public synchronized boolean isReady() {
        return ready;
    }

    /**
     * Claims a key.
     *
     * @param key the idempotency key
     * @param claim the identifier of the claim, never used for another set of keepers or another request
     * @param requestDigest the digest of the request; 0 counts as not known and matches every request
     * @param nowMillis the time in milliseconds
     * @return the vote
     */
    public synchronized KeeperVote claim(String key, String claim, long requestDigest, long nowMillis) {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(claim, "claim");
        expire(nowMillis);
        KeyRecord known = records.get(key);
        if (known != null && !known.isFree()) {
            return known.vote(claim, requestDigest, nowMillis - settings.executionTimeoutMillis());
        }
        boolean barred = known != null && known.isBarred(claim, nowMillis - settings.claimTimeoutMillis());
        boolean full = known == null && !hasRoom(nowMillis);
        if (!ready || barred || full || nowMillis < incompleteUntil) {
            return KeeperVote.of(ClaimState.NOT_READY);
        }
        put(key, KeyRecord.granted(claim, requestDigest, nowMillis));
        return KeeperVote.of(ClaimState.GRANTED);
    }

    /**
     * Ends a claim. A conclusion that arrives before its claim, or in place of it, is recorded as well.
     *
     * @param key the idempotency key
     * @param claim the identifier of the claim
     * @param conclusion how it ended
     * @param nowMillis the time in milliseconds
     */
    public synchronized void conclude(String key, String claim, ClaimConclusion conclusion, long nowMillis) {
        Objects.requireNonNull(claim, "claim");
        expire(nowMillis);
        KeyRecord known = records.get(Objects.requireNonNull(key, "key"));
        if (known == null && records.size() >= roomForHandover()) {
            return;
        }
        KeyRecord base = known == null ? KeyRecord.free(nowMillis) : known;
        put(
                key,
                switch (conclusion) {
                    case ClaimConclusion.Answered answered
                    when fits(answered.response(), base) ->
                        base.ended(claim, Optional.of(answered.response()), nowMillis);
                    case ClaimConclusion.Answered tooLarge -> base.ended(claim, Optional.empty(), nowMillis);
                    case ClaimConclusion.OutcomeUnknown unknown -> base.ended(claim, Optional.empty(), nowMillis);
                    case ClaimConclusion.Released released -> base.released(claim, nowMillis);
                });
    }

    /**
     * Returns the records for a handover. Released claims are left out, because they hold nothing.
     *
     * @param nowMillis the time in milliseconds
     * @return one record for each claim that holds a key
     */
    public synchronized List<ClaimRecord> records(long nowMillis) {
        expire(nowMillis);
        List<ClaimRecord> result = new ArrayList<>(records.size());
        records.forEach((key, record) -> record.appendTo(result, key, nowMillis));
        return result;
    }

    /**
     * Adds records that another keeper handed over. They take up to twice the room of claimed ones; if even that is
     * exhausted, the table stops to vote on keys it does not know for the retention time.
     *
     * @param handedOver the records
     * @param nowMillis the time in milliseconds
     */
    public synchronized void mergeRecords(List<ClaimRecord> handedOver, long nowMillis) {
        expire(nowMillis);
        for (ClaimRecord record : handedOver) {
            KeyRecord known = records.get(record.key());
            if (known == null && records.size() >= roomForHandover()) {
                incompleteUntil = nowMillis + settings.retentionMillis();
            } else if (record.ageMillis() < settings.retentionMillis()) {
                KeyRecord base = known == null ? KeyRecord.free(nowMillis - record.ageMillis()) : known;
                boolean keepAnswer =
                        record.response().isPresent() && fits(record.response().get(), base);
                put(record.key(), base.merged(record, keepAnswer, nowMillis));
            }
        }
    }

    /**
     * Returns the number of keys with a record, released ones included.
     *
     * @return the number
     */
    public synchronized int size() {
        return records.size();
    }

    /**
     * Tells whether a new claim has room. Released records hold nothing and are dropped first, but only after the claim
     * time, in which a delayed message may still claim the key for the released claim.
     */
    private boolean hasRoom(long nowMillis) {
        if (records.size() >= settings.maximumRecords() && nowMillis >= nextSweepMillis) {
            nextSweepMillis = nowMillis + settings.claimTimeoutMillis();
            records.values()
                    .removeIf(record ->
                            record.isFree() && !record.isBarred("", nowMillis - settings.claimTimeoutMillis()));
        }
        return records.size() < settings.maximumRecords();
    }

    private int roomForHandover() {
        return 2 * settings.maximumRecords();
    }

    private boolean fits(RecordedResponse response, KeyRecord replaced) {
        long size = response.size();
        return size <= settings.maximumBytesPerResponse()
                && answerBytes - replaced.answerBytes() + size <= settings.maximumTotalResponseBytes();
    }

    private void put(String key, KeyRecord record) {
        KeyRecord before = records.remove(key);
        answerBytes += record.answerBytes() - (before == null ? 0 : before.answerBytes());
        records.put(key, record);
    }

    private void expire(long nowMillis) {
        Iterator<KeyRecord> oldest = records.values().iterator();
        while (oldest.hasNext()) {
            KeyRecord record = oldest.next();
            if (nowMillis - record.changedMillis() < settings.retentionMillis()) {
                return;
            }
            answerBytes -= record.answerBytes();
            oldest.remove();
        }
    }
}
