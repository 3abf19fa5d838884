package org.cassiabank.declaration;

/**
 * The limits on the requests and connections of callers, the same at all daemons. A limit of 0 is not declared; the
 * settings of each daemon apply instead.
 *
 * @param headerBytes the largest size of all headers of a request, in bytes
 * @param bodyBytes the largest size of the body of a request, in bytes
 * @param headerMillis the longest time from the first byte of a request to the end of its headers, in milliseconds
 * @param idleMillis the longest time that a connection may be idle, in milliseconds
 */
public record ConnectionLimits(long headerBytes, long bodyBytes, long headerMillis, long idleMillis)
        implements Declaration {
    /** The only name of such an entity, because all callers have the same limits. */
    public static final String NAME = "callers";

    /**
     * Checks the ranges of all values.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public ConnectionLimits {
        DeclarationRules.throwIfPresent(DeclarationRules.HEADER_BYTES.problem(headerBytes));
        DeclarationRules.throwIfPresent(DeclarationRules.BODY_BYTES.problem(bodyBytes));
        DeclarationRules.throwIfPresent(DeclarationRules.HEADER_MILLIS.problem(headerMillis));
        DeclarationRules.throwIfPresent(DeclarationRules.IDLE_MILLIS.problem(idleMillis));
    }

    @Override
    public EntityKey key() {
        return new EntityKey(EntityKind.LIMITS, NAME);
    }
}
