package org.cassiabank.declaration;

import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Declares which requests are sent to which backend servers of a service.
 *
 * @param name the name of the selector
 * @param service the name of the service
 * @param methods the HTTP methods that match, in upper case; empty if all match
 * @param path the path prefix that matches, ending at a segment boundary
 * @param customerPattern the glob pattern of customers that match
 * @param requiredLabels the labels with their values that a backend server must have, all of them
 * @param weight the share of requests among selectors of equal precedence, relative to the sum of their weights
 * @param repeatable whether a request may be executed more than once
 * @param costHint the declared cost of the requests
 * @param priority the precedence; higher values are tried first
 * @param host the value of the {@code Host} header that matches, in lower case; empty if all match
 * @param anonymous whether callers need no key of a customer
 * @param limits how long and how often a request may be tried
 */
public record Selector(
        String name,
        String service,
        Set<String> methods,
        String path,
        String customerPattern,
        Map<String, String> requiredLabels,
        int weight,
        boolean repeatable,
        CostHint costHint,
        int priority,
        String host,
        boolean anonymous,
        RequestLimits limits)
        implements Declaration {

    /**
     * Copies the collections and checks the values.
     *
     * @throws IllegalArgumentException if a name, method, path, pattern, label or host is malformed, or if the weight
     *     or the priority is out of range
     */
    public Selector {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(customerPattern, "customerPattern");
        Objects.requireNonNull(costHint, "costHint");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(limits, "limits");
        methods = MethodSets.share(methods);
        requiredLabels = Map.copyOf(requiredLabels);
        DeclarationRules.throwIfPresent(DeclarationRules.nameProblem(name));
        DeclarationRules.throwIfPresent(DeclarationRules.nameProblem(service));
        methods.forEach(method -> DeclarationRules.throwIfPresent(DeclarationRules.methodProblem(method)));
        DeclarationRules.throwIfPresent(DeclarationRules.pathProblem(path));
        DeclarationRules.throwIfPresent(DeclarationRules.globProblem(customerPattern));
        DeclarationRules.throwIfPresent(DeclarationRules.labelsProblem(requiredLabels));
        DeclarationRules.throwIfPresent(DeclarationRules.WEIGHT.problem(weight));
        DeclarationRules.throwIfPresent(DeclarationRules.PRIORITY.problem(priority));
        DeclarationRules.throwIfPresent(DeclarationRules.hostProblem(host));
        // Without sharing, each selector read from a document holds its own copy of these recurring strings.
        service = service.intern();
        customerPattern = customerPattern.equals("*") ? "*" : customerPattern;
    }

    /**
     * Creates a selector for all hosts with the default limits.
     *
     * @param name the name of the selector
     * @param service the name of the service
     * @param methods the HTTP methods that match, in upper case; empty if all match
     * @param path the path prefix that matches, ending at a segment boundary
     * @param customerPattern the glob pattern of customers that match
     * @param requiredLabels the labels with their values that a backend server must have, all of them
     * @param weight the share of requests among selectors of equal precedence, relative to the sum of their weights
     * @param repeatable whether a request may be executed more than once
     * @param costHint the declared cost of the requests
     * @param priority the precedence; higher values are tried first
     * @return the selector
     * @throws IllegalArgumentException if a value is malformed or out of range
     */
    public static Selector forAllHosts(
            String name,
            String service,
            Set<String> methods,
            String path,
            String customerPattern,
            Map<String, String> requiredLabels,
            int weight,
            boolean repeatable,
            CostHint costHint,
            int priority) {
        return new Selector(
                name,
                service,
                methods,
                path,
                customerPattern,
                requiredLabels,
                weight,
                repeatable,
                costHint,
                priority,
                "",
                false,
                RequestLimits.defaults());
    }

    /**
     * Tells whether a request with this method matches.
     *
     * @param method the HTTP method
     * @return true if the selector names the method or names none
     */
    public boolean matchesMethod(String method) {
        return methods.isEmpty() || methods.contains(method);
    }

    @Override
    public EntityKey key() {
        return new EntityKey(EntityKind.SELECTOR, name);
    }
}
