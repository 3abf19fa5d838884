package org.cassiabank.membership;

/**
 * The state of an instance in the platform's list.
 */
public enum InstanceState {
    /** The instance is in service. */
    LIVE,
    /** The instance is about to stop and accepts no new requests. */
    LEAVING
}
