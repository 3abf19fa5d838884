package org.cassiabank.declaration;

import java.util.Map;
import java.util.Objects;
import org.cassiabank.membership.Instance;

/**
 * A backend server with its labels.
 *
 * @param instance the instance
 * @param labels the labels of the instance and those that label rules set, by name
 * @param leaving whether the instance list or a label rule marks the server as leaving
 */
public record LabeledServer(Instance instance, Map<String, String> labels, boolean leaving) {

    /**
     * Copies the labels and checks that no component is null.
     */
    public LabeledServer {
        Objects.requireNonNull(instance, "instance");
        labels = Map.copyOf(labels);
    }

    /**
     * Tells whether the server has all given labels.
     *
     * @param required the labels with their values
     * @return true if all are present with these values
     */
    public boolean hasLabels(Map<String, String> required) {
        return labels.entrySet().containsAll(required.entrySet());
    }
}
