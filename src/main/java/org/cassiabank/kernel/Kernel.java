package org.cassiabank.kernel;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The micro-kernel of a process: it holds the services, which find each other by name, and their life cycle.
 *
 * <p>Registration happens before {@link #start()}; afterwards the kernel is read only and safe for use by many threads.
 */
public final class Kernel implements AutoCloseable {
    private final Map<String, Object> services = new LinkedHashMap<>();
    private final List<KernelService> started = new ArrayList<>();

    private Kernel() {}

    /**
     * Creates a kernel without services.
     *
     * @return the kernel
     */
    public static Kernel create() {
        return new Kernel();
    }

    /**
     * Registers a service.
     *
     * @param <T> the type of the service
     * @param name the name to find it by
     * @param service the service, not null
     * @return this kernel
     * @throws IllegalStateException if the name is already in use
     */
    public <T> Kernel register(ServiceName<T> name, T service) {
        Objects.requireNonNull(service, "service");
        if (services.putIfAbsent(name.name(), service) != null) {
            throw new IllegalStateException("a service named " + name.name() + " is already registered");
        }
        return this;
    }

    /**
     * Finds a service.
     *
     * @param <T> the type of the service
     * @param name the name it was registered under
     * @return the service, or empty if there is none of that name and type
     */
    public <T> Optional<T> find(ServiceName<T> name) {
        Object service = services.get(name.name());
        return name.type().isInstance(service) ? Optional.of(name.type().cast(service)) : Optional.empty();
    }

    /**
     * Returns a service that must be there.
     *
     * @param <T> the type of the service
     * @param name the name it was registered under
     * @return the service
     * @throws CassiabankException with {@link ErrorCode#SERVICE_MISSING} if there is none of that name and type
     */
    public <T> T get(ServiceName<T> name) {
        return find(name)
                .orElseThrow(() -> CassiabankException.of(
                        ErrorCode.SERVICE_MISSING, "no service is registered under the name " + name.name()));
    }

    /**
     * Starts all services in the order of registration. If one fails, those already started are stopped.
     *
     * @throws CassiabankException if a service cannot start
     */
    public void start() {
        for (Object service : services.values()) {
            if (service instanceof KernelService kernelService) {
                try {
                    kernelService.start(this);
                    started.add(kernelService);
                } catch (RuntimeException exception) {
                    close();
                    throw exception;
                }
            }
        }
    }

    /**
     * Stops the started services in reverse order. A second call does nothing.
     */
    @Override
    public void close() {
        while (!started.isEmpty()) {
            started.removeLast().stop();
        }
    }
}
