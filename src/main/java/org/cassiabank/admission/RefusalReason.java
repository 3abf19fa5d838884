package org.cassiabank.admission;

import java.util.Locale;

/**
 * Why the owner of a shard refused a slot. The request has not run in any of these cases.
 */
public enum RefusalReason {
    /** The queue has no room for another request of the customer. */
    QUEUE_FULL,
    /** The predicted wait exceeds the maximum wait for the cost class of the request. */
    WAIT_TOO_LONG,
    /** The response cannot arrive before the deadline of the request. */
    DEADLINE,
    /** The shard has no server that carries the labels of the selector. */
    NO_SERVER,
    /** All servers that carry the labels are ejected or leaving. */
    NO_HEALTHY_SERVER,
    /** The request excludes every server that could run it. */
    ALL_EXCLUDED,
    /** The ticket is not known or was not renewed in time. */
    TICKET_EXPIRED,
    /** The entry proxy that queued the request left the fleet. */
    ENTRY_LOST,
    /** The retry budget of the service has no token for an additional attempt. */
    RETRY_BUDGET,
    /** Servers ended while they ran the request, or another attempt at such a request is still running. */
    ENDS_SERVERS,
    /** The customer has used up its limit over all daemons. */
    QUOTA;

    private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');

    /**
     * Returns the reason as a metric label and header value.
     *
     * @return the name in lower case with hyphens
     */
    public String label() {
        return label;
    }

    /**
     * Tells whether the refusal may be due to too few usable servers.
     *
     * @return false if the customer alone is the cause
     */
    public boolean showsLackOfServers() {
        return this != QUOTA;
    }
}
