package org.cassiabank.once;

import java.util.Objects;
import java.util.Optional;

/**
 * The record of one claim, as a keeper hands it over to another keeper.
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
     * Creates a record.
     *
     * @throws IllegalArgumentException if the state is none of these three, or if a response is missing with
     *     {@link ClaimState#ANSWERED} or present with another state
     */
    public ClaimRecord {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(claimId, "claimId");
        if (state != ClaimState.IN_PROGRESS && state != ClaimState.ANSWERED && state != ClaimState.UNKNOWN) {
            throw new IllegalArgumentException("a claim record cannot have the state " + state);
        }
        if (response.isPresent() != (state == ClaimState.ANSWERED)) {
            throw new IllegalArgumentException("response does not fit the state " + state);
        }
    }
}
