package org.cassiabank.membership;

/**
 * The state of an instance in the platform's list.
 */
public enum InstanceState {
    /** The instance takes part in the service. */
    LIVE,
    /** The instance is about to stop and takes no new work. */
    LEAVING
}
