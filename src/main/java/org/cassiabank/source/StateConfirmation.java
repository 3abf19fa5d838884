package org.cassiabank.source;

/**
 * Evidence of how current the state of a daemon is: every change that the store had acknowledged by a moment is
 * included. That the store or a peer can be reached is no such evidence.
 *
 * @param asOfMillis the moment, in milliseconds of the daemon's monotonic clock
 * @param boundMillis the time within which an acknowledged change has to be in force, in milliseconds
 */
public record StateConfirmation(long asOfMillis, long boundMillis) {

    /**
     * Returns how old the evidence is.
     *
     * @param nowMillis the current time in milliseconds, on the same clock
     * @return the age in milliseconds
     */
    public long ageMillis(long nowMillis) {
        return nowMillis - asOfMillis;
    }

    /**
     * Tells whether the state may lack a change that has to be in force by now.
     *
     * @param nowMillis the current time in milliseconds, on the same clock
     * @return true if the evidence is older than the bound
     */
    public boolean mayLackChanges(long nowMillis) {
        return ageMillis(nowMillis) > boundMillis;
    }
}
