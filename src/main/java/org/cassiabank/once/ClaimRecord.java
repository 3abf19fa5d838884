package org.cassiabank.once;

import java.util.Objects;
import java.util.Optional;

/**
 * What a keeper knows about one claim, as it is handed to another keeper.
 *
 * @param key the idempotency key
 * @param claimId the identifier of the claim
 * @param requestDigest the digest of the request, 0 if it is not known
 * @param state {@link ClaimState#IN_PROGRESS}, {@link ClaimState#ANSWERED} or {@link ClaimState#UNKNOWN}
 * @param ageMillis the time since the last change of the record in milliseconds
 * @param response the recorded response, present exactly if the state is {@link ClaimState#ANSWERED}
 */
public record ClaimRecord(
        String key,
        String claimId,
        long requestDigest,
        ClaimState state,
        long ageMillis,
        Optional<RecordedResponse> response) {

    /**
     * Checks the state and that there is a response exactly if the state says so.
     */
    public ClaimRecord {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(claimId, "claimId");
        if (state != ClaimState.IN_PROGRESS && state != ClaimState.ANSWERED && state != ClaimState.UNKNOWN) {
            throw new IllegalArgumentException("not the state of a record: " + state);
        }
        if (response.isPresent() != (state == ClaimState.ANSWERED)) {
            throw new IllegalArgumentException("answer does not fit the state " + state);
        }
    }
}
