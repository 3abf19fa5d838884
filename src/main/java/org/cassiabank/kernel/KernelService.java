package org.cassiabank.kernel;

/**
 * A service with a life cycle. The kernel starts services in the order of registration and stops them in reverse.
 */
public interface KernelService {

    /**
     * Starts the service. All services registered in the kernel can be found, started or not.
     *
     * @param kernel the kernel in which the service is registered
     * @throws CassiabankException if the service cannot start
     */
    default void start(Kernel kernel) {}

    /**
     * Stops the service and releases what it holds. Called at most once, and only after a start.
     */
    default void stop() {}
}
