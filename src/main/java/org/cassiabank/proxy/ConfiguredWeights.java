package org.cassiabank.proxy;

import java.util.stream.Collectors;
import org.cassiabank.admission.CustomerWeights;
import org.cassiabank.declaration.Configuration;
import org.cassiabank.declaration.CustomerDeclaration;

/**
 * The weights of the customers of the configuration in force, calculated once for each configuration.
 */
final class ConfiguredWeights {
    private volatile Entry entry = entryFor(Configuration.empty());

    private ConfiguredWeights() {}

    static ConfiguredWeights create() {
        return new ConfiguredWeights();
    }

    /** Returns the weight of a customer under a configuration, 1 if the configuration does not limit it. */
    double weight(Configuration configuration, String customer) {
        Entry current = entry;
        if (current.configuration() != configuration) {
            current = entryFor(configuration);
            entry = current;
        }
        return current.weights().weight(customer);
    }

    private static Entry entryFor(Configuration configuration) {
        return new Entry(
                configuration,
                CustomerWeights.of(configuration.customers().stream()
                        .collect(Collectors.toMap(CustomerDeclaration::name, CustomerDeclaration::requestsPerSecond))));
    }

    private record Entry(Configuration configuration, CustomerWeights weights) {}
}
