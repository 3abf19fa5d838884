package org.cassiabank.declaration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;

/**
 * Converts declarations from and to trees. TOML files and JSON documents use the same keys.
 */
public final class DeclarationCodec {

    private DeclarationCodec() {}

    /**
     * Reads a declaration and reports everything that is wrong with it.
     *
     * @param key the kind and name of the entity
     * @param body the table with the fields
     * @param path the key of the table, for reports
     * @param problems receives the key of each wrong field and a message
     * @return the declaration, or empty if a problem was reported
     */
    public static Optional<Declaration> read(
            EntityKey key, JsonNode body, String path, BiConsumer<String, String> problems) {
        Objects.requireNonNull(key, "key");
        if (!body.isObject()) {
            problems.accept(path, "expected a table, but found " + FieldReader.describe(body));
            return Optional.empty();
        }
        Optional<String> nameProblem = DeclarationRules.nameProblem(key.name());
        nameProblem.ifPresent(problem -> problems.accept(path, problem));
        FieldReader reader = FieldReader.of(body, path, problems);
        return switch (key.kind()) {
            case LABEL -> {
                String instances = reader.text("instances", Optional.empty(), DeclarationRules::globProblem);
                Map<String, String> set = reader.labels("set", true, DeclarationRules::labelRuleProblem);
                yield reader.finish() && nameProblem.isEmpty()
                        ? Optional.of(new LabelRule(key.name(), instances, set))
                        : Optional.empty();
            }
            case SERVICE -> {
                int slots = (int) reader.number(DeclarationRules.SLOTS, Optional.empty());
                int floor = (int) reader.number(DeclarationRules.FLOOR, Optional.empty());
                long deadline = reader.number(DeclarationRules.DEADLINE_MILLIS, Optional.empty());
                yield reader.finish() && nameProblem.isEmpty()
                        ? Optional.of(new ServiceDeclaration(key.name(), slots, floor, deadline))
                        : Optional.empty();
            }
            case SELECTOR -> readSelector(key.name(), reader, nameProblem.isEmpty());
            case LIMITS -> {
                boolean isNamed = key.name().equals(ConnectionLimits.NAME);
                if (!isNamed) {
                    problems.accept(path, "the only name of limits is " + ConnectionLimits.NAME);
                }
                yield readConnectionLimits(reader).filter(limits -> isNamed);
            }
        };
    }

    private static Optional<Declaration> readConnectionLimits(FieldReader reader) {
        long headerBytes = reader.number(DeclarationRules.HEADER_BYTES, Optional.of(0));
        long bodyBytes = reader.number(DeclarationRules.BODY_BYTES, Optional.of(0));
        long headerMillis = reader.number(DeclarationRules.HEADER_MILLIS, Optional.of(0));
        long idleMillis = reader.number(DeclarationRules.IDLE_MILLIS, Optional.of(0));
        return reader.finish()
                ? Optional.of(new ConnectionLimits(headerBytes, bodyBytes, headerMillis, idleMillis))
                : Optional.empty();
    }

    private static Optional<Declaration> readSelector(String name, FieldReader reader, boolean nameValid) {
        String service = reader.text("service", Optional.empty(), DeclarationRules::nameProblem);
        var methods = reader.texts("methods", DeclarationRules::methodProblem);
        String path = reader.text("path", Optional.empty(), DeclarationRules::pathProblem);
        String callers = reader.text("callers", Optional.of("*"), DeclarationRules::globProblem);
        Map<String, String> servers = reader.labels("servers", false, DeclarationRules::labelsProblem);
        int weight = (int) reader.number(DeclarationRules.WEIGHT, Optional.of(1));
        boolean repeatable = reader.flag("repeatable", false);
        String cost = reader.text("cost", Optional.of("learned"), DeclarationCodec::costProblem);
        int priority = (int) reader.number(DeclarationRules.PRIORITY, Optional.of(0));
        String host = reader.text("host", Optional.of(""), DeclarationRules::hostProblem);
        RequestLimits limits = readLimits(reader);
        if (!reader.finish() || !nameValid) {
            return Optional.empty();
        }
        CostHint hint = CostHint.valueOf(cost.toUpperCase(Locale.ROOT));
        return Optional.of(new Selector(
                name, service, methods, path, callers, servers, weight, repeatable, hint, priority, host, limits));
    }

    private static RequestLimits readLimits(FieldReader reader) {
        RequestLimits defaults = RequestLimits.defaults();
        long timeoutMillis = reader.number(DeclarationRules.TIMEOUT_MILLIS, Optional.of(0));
        long targetMillis = reader.number(DeclarationRules.TARGET_MILLIS, Optional.of(0));
        int attempts = (int) reader.number(DeclarationRules.MAXIMUM_ATTEMPTS, Optional.of(defaults.maximumAttempts()));
        int urgency = (int) reader.number(DeclarationRules.URGENCY, Optional.of(defaults.urgencyRank()));
        // Values out of range were reported; the defaults stand in for them until the findings are thrown.
        return reader.hasFailed() ? defaults : new RequestLimits(timeoutMillis, targetMillis, attempts, urgency);
    }

    private static Optional<String> costProblem(String cost) {
        return switch (cost) {
            case "learned", "short", "long" -> Optional.empty();
            default -> Optional.of("cost must be learned, short or long, but is \"" + cost + "\"");
        };
    }

    /**
     * Writes the fields of a declaration. Equal declarations give equal documents.
     *
     * @param declaration the declaration
     * @return the table, without kind and name
     */
    public static ObjectNode write(Declaration declaration) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        switch (declaration) {
            case LabelRule rule -> {
                body.put("instances", rule.instances());
                writeLabels(body.putObject("set"), rule.set());
            }
            case ServiceDeclaration service ->
                body.put("slots", service.slotsPerServer())
                        .put("floor", service.ejectionFloor())
                        .put("deadline-millis", service.defaultDeadlineMillis());
            case ConnectionLimits limits ->
                body.put("header-bytes", limits.headerBytes())
                        .put("body-bytes", limits.bodyBytes())
                        .put("header-millis", limits.headerMillis())
                        .put("idle-millis", limits.idleMillis());
            case Selector selector -> {
                body.put("service", selector.service());
                var methods = body.putArray("methods");
                new TreeSet<>(selector.methods()).forEach(methods::add);
                body.put("path", selector.path()).put("callers", selector.customerPattern());
                writeLabels(body.putObject("servers"), selector.requiredLabels());
                body.put("weight", selector.weight())
                        .put("repeatable", selector.repeatable())
                        .put("cost", selector.costHint().name().toLowerCase(Locale.ROOT))
                        .put("priority", selector.priority());
                writeLimits(body, selector);
            }
        }
        return body;
    }

    private static void writeLimits(ObjectNode body, Selector selector) {
        if (!selector.host().isEmpty()) {
            body.put("host", selector.host());
        }
        RequestLimits limits = selector.limits();
        if (!limits.equals(RequestLimits.defaults())) {
            body.put("timeout-millis", limits.timeoutMillis())
                    .put("target-millis", limits.targetLatencyMillis())
                    .put("maximum-attempts", limits.maximumAttempts())
                    .put("urgency", limits.urgencyRank());
        }
    }

    private static void writeLabels(ObjectNode table, Map<String, String> labels) {
        new TreeMap<>(labels).forEach(table::put);
    }
}
