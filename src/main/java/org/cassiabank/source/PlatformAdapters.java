package org.cassiabank.source;

import java.util.Objects;
import java.util.ServiceLoader;
import java.util.stream.Collectors;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;

/**
 * Finds adapters by name.
 */
public final class PlatformAdapters {

    private PlatformAdapters() {}

    /**
     * Finds an adapter.
     *
     * @param name the name
     * @return the adapter
     * @throws CassiabankException with {@link ErrorCode#INVALID_INPUT} if there is none of this name
     */
    public static PlatformAdapter forName(String name) {
        Objects.requireNonNull(name, "name");
        ServiceLoader<PlatformAdapter> loader = ServiceLoader.load(PlatformAdapter.class);
        return loader.stream()
                .map(ServiceLoader.Provider::get)
                .filter(adapter -> adapter.name().equals(name))
                .findFirst()
                .orElseThrow(() -> CassiabankException.of(
                        ErrorCode.INVALID_INPUT,
                        "no platform adapter is named '" + name + "'; known: "
                                + loader.stream()
                                        .map(provider -> provider.get().name())
                                        .sorted()
                                        .collect(Collectors.joining(", "))));
    }
}
