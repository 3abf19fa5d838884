package org.cassiabank.once;

/**
 * The state of a key at a keeper, as it is returned to a claim of the key.
 */
public enum ClaimState {
    /** No other claim held the key; it is now held by this claim. */
    GRANTED,
    /** Another claim holds the key and has not been concluded. */
    IN_PROGRESS,
    /** The key has a recorded response. */
    ANSWERED,
    /** A claim held the key and its outcome is not known. */
    UNKNOWN,
    /**
     * The keeper cannot vote on the key: it lacks records or is full, this claim was released before, or another claim
     * was released within the claim timeout.
     */
    NOT_READY,
    /** The key was used with a different request. */
    MISMATCH
}
