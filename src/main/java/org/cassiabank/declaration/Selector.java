package org.cassiabank.declaration;

import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Sends the requests that it matches to labeled servers of a service.
 *
 * @param name the name of the selector
 * @param service the name of the service
 * @param methods the HTTP methods that match, in capitals; empty if all match
 * @param path the path prefix that matches, ending at a segment boundary
 * @param customerPattern the glob pattern of customers that match
 * @param requiredLabels the labels that a server must carry, all of them
 * @param weight the share among selectors of equal priority and path length
 * @param repeatable whether a request may run more than once
 * @param costHint the declared cost of the requests
 * @param priority the precedence; higher values are tried first
 * @param host the value of the {@code Host} header that matches, in lower case; empty if all match
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
        RequestLimits limits)
        implements Declaration {

    /**
     * Checks and copies the components.
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
        DeclarationRules.require(DeclarationRules.nameProblem(name));
        DeclarationRules.require(DeclarationRules.nameProblem(service));
        methods.forEach(method -> DeclarationRules.require(DeclarationRules.methodProblem(method)));
        DeclarationRules.require(DeclarationRules.pathProblem(path));
        DeclarationRules.require(DeclarationRules.globProblem(customerPattern));
        DeclarationRules.require(DeclarationRules.labelsProblem(requiredLabels));
        DeclarationRules.require(DeclarationRules.WEIGHT.problem(weight));
        DeclarationRules.require(DeclarationRules.PRIORITY.problem(priority));
        DeclarationRules.require(DeclarationRules.hostProblem(host));
        // Selectors read from documents would otherwise each hold their own copy of these recurring strings.
        service = service.intern();
        customerPattern = customerPattern.equals("*") ? "*" : customerPattern;
    }

    /**
     * Creates a selector for all hosts with the default limits.
     *
     * @param name the name of the selector
     * @param service the name of the service
     * @param methods the HTTP methods that match, in capitals; empty if all match
     * @param path the path prefix that matches, ending at a segment boundary
     * @param customerPattern the glob pattern of customers that match
     * @param requiredLabels the labels that a server must carry, all of them
     * @param weight the share among selectors of equal priority and path length
     * @param repeatable whether a request may run more than once
     * @param costHint the declared cost of the requests
     * @param priority the precedence; higher values are tried first
     * @return the selector
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
