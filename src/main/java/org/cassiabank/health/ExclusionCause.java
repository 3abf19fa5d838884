package org.cassiabank.health;

/**
 * Why a server gets no requests, or only some that test it.
 */
public enum ExclusionCause {
    /** Its errors or its slowness stand out from those of the other servers. */
    OUTLIER,
    /** A few attempts at it failed abruptly. */
    SUSPICION
}
