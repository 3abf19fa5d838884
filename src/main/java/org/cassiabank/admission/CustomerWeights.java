package org.cassiabank.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * The weights with which customers share the slots of a service.
 *
 * <p>They answer the load of customers of different size that compete for too few slots: shares follow the declared
 * limits, so that a customer that bought ten times the rate of another one gets ten times its slots when both wait. A
 * customer without a limit has the weight 1. The weights of the others are scaled so that their mean is 1.
 */
public final class CustomerWeights {
    /**
     * The weights stay within this factor of the mean. A limit of a few requests an hour beside one of thousands a
     * second would otherwise delay a customer's second request for minutes.
     */
    private static final double MAXIMUM_FACTOR = 1_000;

    private final Map<String, Double> weightsByCustomer;

    private CustomerWeights(Map<String, Double> weightsByCustomer) {
        this.weightsByCustomer = weightsByCustomer;
    }

    /**
     * Calculates the weights of all customers.
     *
     * @param requestsPerSecond the declared limits in requests a second by customer; 0 stands for no limit
     * @return the weights
     */
    public static CustomerWeights of(Map<String, Double> requestsPerSecond) {
        double mean = requestsPerSecond.values().stream()
                .mapToDouble(Double::doubleValue)
                .filter(limit -> limit > 0)
                .average()
                .orElse(1);
        Map<String, Double> weights = new HashMap<>();
        requestsPerSecond.forEach((customer, limit) -> {
            if (limit > 0) {
                weights.put(customer, Math.clamp(limit / mean, 1 / MAXIMUM_FACTOR, MAXIMUM_FACTOR));
            }
        });
        return new CustomerWeights(Map.copyOf(weights));
    }

    /**
     * Returns the weight of a customer.
     *
     * @param customer the name of the customer
     * @return the weight, above 0; 1 for a customer that is not known or has no limit
     */
    public double weight(String customer) {
        return weightsByCustomer.getOrDefault(customer, 1.0);
    }
}
