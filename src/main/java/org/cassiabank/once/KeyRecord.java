package org.cassiabank.once;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The record of one key in a {@link ClaimTable}: the claims that hold the key, its outcome, and the last release.
 *
 * @param holderClaimIds the claims whose requests may be running; several only if keepers with different records
 *     handed them over
 * @param grantedClaimId the claim to which this keeper granted the key and may grant it again after a lost reply, empty
 *     if there is none
 * @param completed whether a claim was concluded with a response or an unknown outcome
 * @param completedClaimId the claim that was concluded in this way, empty if there is none
 * @param response the recorded response, empty without an outcome or with an unknown one
 * @param releasedClaimId the claim that was released last, empty if there is none
 * @param releasedAtMillis the time of that release in milliseconds, {@link Long#MIN_VALUE} if there is none
 * @param requestDigest the digest of the request, 0 if it is not known
 * @param changedAtMillis the time of the last change of the record in milliseconds
 */
record KeyRecord(
        List<String> holderClaimIds,
        String grantedClaimId,
        boolean completed,
        String completedClaimId,
        Optional<RecordedResponse> response,
        String releasedClaimId,
        long releasedAtMillis,
        long requestDigest,
        long changedAtMillis) {

    static KeyRecord free(long nowMillis) {
        return new KeyRecord(List.of(), "", false, "", Optional.empty(), "", Long.MIN_VALUE, 0, nowMillis);
    }

    static KeyRecord granted(String claimId, long requestDigest, long nowMillis) {
        return new KeyRecord(
                List.of(claimId), claimId, false, "", Optional.empty(), "", Long.MIN_VALUE, requestDigest, nowMillis);
    }

    boolean isFree() {
        return !completed && holderClaimIds.isEmpty();
    }

    /**
     * Tells whether a key that no claim holds must not be granted. A released claim must not get the key through a
     * delayed message. Other claims must not get it while a claim to which this keeper refused the key in favour of the
     * released one may be undecided, because the entry proxy of the released claim has told its caller that the request
     * did not run.
     *
     * @param claimId the identifier of the claim that asks for the key
     * @param releasedAfterMillis a release after this time in milliseconds blocks every claim
     */
    boolean isBlocked(String claimId, long releasedAfterMillis) {
        return claimId.equals(releasedClaimId)
                || (!releasedClaimId.isEmpty() && releasedAtMillis > releasedAfterMillis);
    }

    /**
     * Votes on a claim of a key that is held or has an outcome.
     *
     * @param claimId the identifier of the claim
     * @param claimDigest the digest of its request, 0 if it is not known
     * @param startedAfterMillis a claim that was last changed at or before this time in milliseconds counts as an
     *     unknown outcome
     */
    KeeperVote vote(String claimId, long claimDigest, long startedAfterMillis) {
        if (requestDigest != 0 && claimDigest != 0 && requestDigest != claimDigest) {
            return KeeperVote.of(ClaimState.MISMATCH);
        }
        if (completed) {
            return response.map(KeeperVote::answered).orElseGet(() -> KeeperVote.of(ClaimState.UNKNOWN));
        }
        if (claimId.equals(grantedClaimId) && holderClaimIds.equals(List.of(claimId))) {
            return KeeperVote.of(ClaimState.GRANTED);
        }
        return KeeperVote.of(changedAtMillis > startedAfterMillis ? ClaimState.IN_PROGRESS : ClaimState.UNKNOWN);
    }

    /** Returns the record with the outcome of a claim, or this record if it has a response. */
    KeyRecord completedBy(String claimId, Optional<RecordedResponse> recordedResponse, long nowMillis) {
        // A recorded response is never replaced, so that every repeat of the request gets the same response.
        return response.isPresent()
                ? this
                : new KeyRecord(
                        List.of(), "", true, claimId, recordedResponse, "", Long.MIN_VALUE, requestDigest, nowMillis);
    }

    /** Returns the record without the released claim, or this record if it has an outcome. */
    KeyRecord releasedBy(String claimId, long nowMillis) {
        if (completed) {
            return this;
        }
        List<String> remainingHolders = holderClaimIds.stream()
                .filter(holder -> !holder.equals(claimId))
                .toList();
        boolean wasLast = remainingHolders.isEmpty();
        return new KeyRecord(
                remainingHolders,
                claimId.equals(grantedClaimId) ? "" : grantedClaimId,
                false,
                "",
                Optional.empty(),
                claimId,
                nowMillis,
                wasLast ? 0 : requestDigest,
                nowMillis);
    }

    /**
     * Returns the record together with one that another keeper handed over. An outcome takes precedence over running
     * claims, a response over an unknown outcome; a claim that this keeper recorded as released last is not added.
     */
    KeyRecord mergedWith(ClaimRecord record, boolean keepResponse, long nowMillis) {
        long newChangedAtMillis = Math.max(changedAtMillis, nowMillis - record.ageMillis());
        long knownDigest = requestDigest == 0 ? record.requestDigest() : requestDigest;
        if (record.state() != ClaimState.IN_PROGRESS) {
            Optional<RecordedResponse> keptResponse = keepResponse ? record.response() : Optional.empty();
            return response.isPresent() || (completed && keptResponse.isEmpty())
                    ? this
                    : new KeyRecord(
                            List.of(),
                            "",
                            true,
                            record.claimId(),
                            keptResponse,
                            "",
                            Long.MIN_VALUE,
                            knownDigest,
                            newChangedAtMillis);
        }
        if (completed
                || holderClaimIds.contains(record.claimId())
                || record.claimId().equals(releasedClaimId)) {
            return this;
        }
        List<String> allHolders = new ArrayList<>(holderClaimIds);
        allHolders.add(record.claimId());
        return new KeyRecord(
                List.copyOf(allHolders),
                grantedClaimId,
                false,
                "",
                response,
                releasedClaimId,
                releasedAtMillis,
                knownDigest,
                newChangedAtMillis);
    }

    /** Returns the size by which the recorded response counts against the limits, 0 without a response. */
    long responseBytes() {
        return response.map(RecordedResponse::size).orElse(0L);
    }

    /** Adds one record for the outcome and one for each claim that holds the key. */
    void appendClaimRecords(List<ClaimRecord> result, String key, long nowMillis) {
        long ageMillis = nowMillis - changedAtMillis;
        if (completed) {
            ClaimState state = response.isPresent() ? ClaimState.ANSWERED : ClaimState.UNKNOWN;
            result.add(new ClaimRecord(key, completedClaimId, requestDigest, state, ageMillis, response));
        }
        for (String holder : holderClaimIds) {
            result.add(
                    new ClaimRecord(key, holder, requestDigest, ClaimState.IN_PROGRESS, ageMillis, Optional.empty()));
        }
    }
}
