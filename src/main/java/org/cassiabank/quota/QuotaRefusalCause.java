package org.cassiabank.quota;

/**
 * Why a quota refused a request.
 */
public enum QuotaRefusalCause {
    /** No coordinator has granted a lease to the participant yet. */
    BEFORE_LEASE("before-lease"),

    /** The latest lease has expired without a reply of a coordinator. */
    EXPIRED_LEASE("expired-lease"),

    /** The requests of the lease are used up. */
    USED_LEASE("used-lease");

    private final String label;

    QuotaRefusalCause(String label) {
        this.label = label;
    }

    /**
     * Returns the name in metrics and log lines.
     *
     * @return the label
     */
    public String label() {
        return label;
    }
}
