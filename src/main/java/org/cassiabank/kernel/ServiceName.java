package org.cassiabank.kernel;

import java.util.Objects;

/**
 * The name under which a service is registered in the {@link Kernel}, with the type it is found as.
 *
 * @param <T> the type of the service
 * @param name the name, unique in a kernel
 * @param type the type of the service
 */
public record ServiceName<T>(String name, Class<T> type) {

    /**
     * Checks that no component is null.
     */
    public ServiceName {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(type, "type");
    }

    /**
     * Creates a name.
     *
     * @param <T> the type of the service
     * @param name the name
     * @param type the type of the service
     * @return the service name
     */
    public static <T> ServiceName<T> of(String name, Class<T> type) {
        return new ServiceName<>(name, type);
    }
}
