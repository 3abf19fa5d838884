package org.cassiabank.health;

/** What one attempt says about its server. */
enum Judgement {
    /** The response was whole and in time. */
    GOOD,
    /** The attempt says nothing about the server, or as many attempts at the other servers ended like it. */
    NEUTRAL,
    /** The attempt failed or was slow while attempts at the other servers were not. */
    BAD
}
