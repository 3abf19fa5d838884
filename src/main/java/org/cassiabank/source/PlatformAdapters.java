package org.cassiabank.source;

import java.util.Objects;
import java.util.ServiceLoader;
import java.util.stream.Collectors;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;

/**
 * Finds platform adapters with {@link ServiceLoader}.
 */
public final class PlatformAdapters {

    private PlatformAdapters() {}

    /**
     * Returns the adapter with a name.
     *
     * @param name the name that {@link PlatformAdapter#name()} returns
     * @return the adapter
     * @throws CassiabankException with {@link ErrorCode#INVALID_INPUT} if no adapter has this name; the message lists
     *     the known names
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
