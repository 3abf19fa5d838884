package org.cassiabank.once;

/**
 * What a keeper says about a key that is claimed.
 */
public enum ClaimState {
    /** The key was not known; it is now held by this claim. */
    GRANTED,
    /** Another claim holds the key and has not ended. */
    IN_PROGRESS,
    /** The key has a recorded response. */
    ANSWERED,
    /** The claim that held the key ended without a recorded outcome. */
    UNKNOWN,
    /** The keeper cannot vote on the key: it lacks records, has no room, or a claim was released just now. */
    NOT_READY,
    /** The key was used with a different request. */
    MISMATCH
}
