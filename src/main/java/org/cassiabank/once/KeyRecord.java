package org.cassiabank.once;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * What a keeper knows about one key.
 *
 * @param holders the claims that may be running; several only if keepers with different records handed them over
 * @param voter the claim this keeper granted the key to and may grant it again after a lost reply, empty if none
 * @param ended whether a claim ended with a response or an unknown outcome
 * @param endedClaim the claim that ended, empty if none did
 * @param response the recorded response
 * @param releasedClaim the claim that was released last, empty if none was
 * @param releasedMillis when it was released
 * @param digest the digest of the request, 0 if it is not known
 * @param changedMillis when the record was changed last
 */
record KeyRecord(
        List<String> holders,
        String voter,
        boolean ended,
        String endedClaim,
        Optional<RecordedResponse> response,
        String releasedClaim,
        long releasedMillis,
        long digest,
        long changedMillis) {

    static KeyRecord free(long nowMillis) {
        return new KeyRecord(List.of(), "", false, "", Optional.empty(), "", Long.MIN_VALUE, 0, nowMillis);
    }

    static KeyRecord granted(String claim, long digest, long nowMillis) {
        return new KeyRecord(List.of(claim), claim, false, "", Optional.empty(), "", Long.MIN_VALUE, digest, nowMillis);
    }

    boolean isFree() {
        return !ended && holders.isEmpty();
    }

    /**
     * Tells whether the key, although free, must not be granted. A released claim must not get the key through a
     * delayed message. Others must not get it while a claim may be undecided that lost this keeper to the released
     * one, because the entry proxy of the released claim has told its caller that nothing ran.
     */
    boolean isBarred(String claim, long releasedAfterMillis) {
        return claim.equals(releasedClaim) || (!releasedClaim.isEmpty() && releasedMillis > releasedAfterMillis);
    }

    KeeperVote vote(String claim, long requestDigest, long startedAfterMillis) {
        if (digest != 0 && requestDigest != 0 && digest != requestDigest) {
            return KeeperVote.of(ClaimState.MISMATCH);
        }
        if (ended) {
            return response.map(KeeperVote::answered).orElseGet(() -> KeeperVote.of(ClaimState.UNKNOWN));
        }
        if (claim.equals(voter) && holders.equals(List.of(claim))) {
            return KeeperVote.of(ClaimState.GRANTED);
        }
        return KeeperVote.of(changedMillis > startedAfterMillis ? ClaimState.IN_PROGRESS : ClaimState.UNKNOWN);
    }

    KeyRecord ended(String claim, Optional<RecordedResponse> recorded, long nowMillis) {
        // A response is never replaced: repeats get the same response each time.
        return response.isPresent()
                ? this
                : new KeyRecord(List.of(), "", true, claim, recorded, "", Long.MIN_VALUE, digest, nowMillis);
    }

    KeyRecord released(String claim, long nowMillis) {
        if (ended) {
            return this;
        }
        List<String> others =
                holders.stream().filter(holder -> !holder.equals(claim)).toList();
        boolean wasLast = others.isEmpty();
        return new KeyRecord(
                others,
                claim.equals(voter) ? "" : voter,
                false,
                "",
                Optional.empty(),
                claim,
                nowMillis,
                wasLast ? 0 : digest,
                nowMillis);
    }

    KeyRecord merged(ClaimRecord record, boolean keepAnswer, long nowMillis) {
        long changed = Math.max(changedMillis, nowMillis - record.ageMillis());
        long knownDigest = digest == 0 ? record.requestDigest() : digest;
        if (record.state() != ClaimState.IN_PROGRESS) {
            Optional<RecordedResponse> kept = keepAnswer ? record.response() : Optional.empty();
            return response.isPresent() || (ended && kept.isEmpty())
                    ? this
                    : new KeyRecord(
                            List.of(), "", true, record.claimId(), kept, "", Long.MIN_VALUE, knownDigest, changed);
        }
        if (ended || holders.contains(record.claimId()) || record.claimId().equals(releasedClaim)) {
            return this;
        }
        List<String> all = new ArrayList<>(holders);
        all.add(record.claimId());
        return new KeyRecord(
                List.copyOf(all), voter, false, "", response, releasedClaim, releasedMillis, knownDigest, changed);
    }

    long answerBytes() {
        return response.map(RecordedResponse::size).orElse(0L);
    }

    void appendTo(List<ClaimRecord> result, String key, long nowMillis) {
        long age = nowMillis - changedMillis;
        if (ended) {
            ClaimState state = response.isPresent() ? ClaimState.ANSWERED : ClaimState.UNKNOWN;
            result.add(new ClaimRecord(key, endedClaim, digest, state, age, response));
        }
        for (String holder : holders) {
            result.add(new ClaimRecord(key, holder, digest, ClaimState.IN_PROGRESS, age, Optional.empty()));
        }
    }
}
