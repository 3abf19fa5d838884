package org.cassiabank.declaration;

/**
 * Bounds what callers may send and how long they may take, at all daemons alike. A limit of 0 is not stated; the
 * settings of each daemon hold then.
 *
 * @param headerBytes the largest size of all headers of a request, in bytes
 * @param bodyBytes the largest body of a request, in bytes
 * @param headerMillis the longest time from the first byte of a request to the end of its headers, in milliseconds
 * @param idleMillis how long a connection may be idle, in milliseconds
 */
public record ConnectionLimits(long headerBytes, long bodyBytes, long headerMillis, long idleMillis)
        implements Declaration {
    /** The only name of such an entity, because all callers have the same limits. */
    public static final String NAME = "callers";

    /**
     * Checks the ranges.
     */
    public ConnectionLimits {
        DeclarationRules.require(DeclarationRules.HEADER_BYTES.problem(headerBytes));
        DeclarationRules.require(DeclarationRules.BODY_BYTES.problem(bodyBytes));
        DeclarationRules.require(DeclarationRules.HEADER_MILLIS.problem(headerMillis));
        DeclarationRules.require(DeclarationRules.IDLE_MILLIS.problem(idleMillis));
    }

    @Override
    public EntityKey key() {
        return new EntityKey(EntityKind.LIMITS, NAME);
    }
}
