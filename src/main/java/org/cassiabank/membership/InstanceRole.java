package org.cassiabank.membership;

/**
 * The kind of process that an instance of the platform runs.
 */
public enum InstanceRole {
    /** A proxy daemon of this project. */
    PROXY,
    /** A backend server. */
    BACKEND
}
