package org.cassiabank.health;

/** The classification of one attempt as evidence about its server. */
enum AttemptClassification {
    /** The response was complete and not slow. */
    GOOD,
    /**
     * The attempt is no evidence about the server, or attempts at the other servers fail or are slow about as often.
     */
    NEUTRAL,
    /** The attempt failed or was slow while attempts at the other servers were not. */
    BAD
}
