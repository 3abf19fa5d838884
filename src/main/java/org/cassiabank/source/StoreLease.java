package org.cassiabank.source;

/**
 * A lease of the store. A store that comes back from an older copy may give out the identifier again, so a lease is
 * known to be held only in the era in which it was granted.
 *
 * @param id the identifier that the store has given out
 * @param era the era of the store in which it was granted, 0 if the store names none
 */
public record StoreLease(long id, long era) {}
