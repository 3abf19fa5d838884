package org.cassiabank.proxy;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cassiabank.admission.CustomerWeights;
import org.cassiabank.declaration.Configuration;
import org.cassiabank.declaration.CustomerDeclaration;

/**
 * The weights of the customers of the configuration in force, calculated once for each configuration.
 *
 * <p>One request calculates them after a change; the requests beside it use the former ones, because the work grows
 * with the number of customers. Thread-safe.
 */
final class ConfiguredWeights {
    private final Function<Configuration, CustomerWeights> calculation;
    private final ReentrantLock calculationLock = new ReentrantLock();
    /** The configuration is null until the weights of the first one are calculated. */
    private volatile Entry entry = new Entry(null, CustomerWeights.of(Map.of()));

    private ConfiguredWeights(Function<Configuration, CustomerWeights> calculation) {
        this.calculation = calculation;
    }

    static ConfiguredWeights create() {
        return create(ConfiguredWeights::calculate);
    }

    /** Creates the weights with another calculation, for tests. */
    static ConfiguredWeights create(Function<Configuration, CustomerWeights> calculation) {
        return new ConfiguredWeights(Objects.requireNonNull(calculation, "calculation"));
    }

    /**
     * Returns the weight of a customer under a configuration, or under the former one while another thread calculates.
     *
     * @param configuration the configuration in force
     * @param customer the name of the customer
     * @return the weight, 1 if the configuration does not limit the customer
     */
    double weight(Configuration configuration, String customer) {
        if (entry.configuration() != configuration && calculationLock.tryLock()) {
            try {
                if (entry.configuration() != configuration) {
                    entry = new Entry(configuration, calculation.apply(configuration));
                }
            } finally {
                calculationLock.unlock();
            }
        }
        return entry.weights().weight(customer);
    }

    private static CustomerWeights calculate(Configuration configuration) {
        return CustomerWeights.of(configuration.customers().stream()
                .collect(Collectors.toMap(CustomerDeclaration::name, CustomerDeclaration::requestsPerSecond)));
    }

    private record Entry(Configuration configuration, CustomerWeights weights) {}
}
