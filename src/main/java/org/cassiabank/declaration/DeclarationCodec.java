package org.cassiabank.declaration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;

/**
 * Converts declarations from and to trees of JSON nodes. TOML files and JSON documents use the same keys.
 */
public final class DeclarationCodec {

    /** The field of a customer that holds the digests of its keys. */
    static final String KEY_DIGESTS = "key-digests";

    /** Stands for a missing rank, because the rank 0 has a meaning. */
    private static final int NO_URGENCY = -1;

    private DeclarationCodec() {}

    /**
     * Reads a declaration and reports all problems in it.
     *
     * @param key the kind and name of the entity
     * @param table the table with the fields
     * @param path the dotted key of the table, which precedes the keys of reported fields
     * @param problemReporter receives the dotted key of each invalid field and a message
     * @return the declaration, or empty if a problem was reported
     */
    public static Optional<Declaration> read(
            EntityKey key, JsonNode table, String path, BiConsumer<String, String> problemReporter) {
        Objects.requireNonNull(key, "key");
        if (!table.isObject()) {
            problemReporter.accept(path, "expected a table, but found " + FieldReader.describe(table));
            return Optional.empty();
        }
        Optional<String> nameProblem = DeclarationRules.nameProblem(key.name());
        nameProblem.ifPresent(problem -> problemReporter.accept(path, problem));
        FieldReader reader = FieldReader.of(table, path, problemReporter);
        return switch (key.kind()) {
            case LABEL -> {
                String instances = reader.readText("instances", Optional.empty(), DeclarationRules::globProblem);
                Map<String, String> set = reader.readLabels("set", true, DeclarationRules::labelRuleProblem);
                yield reader.finish() && nameProblem.isEmpty()
                        ? Optional.of(new LabelRule(key.name(), instances, set))
                        : Optional.empty();
            }
            case SERVICE -> {
                int slotsPerServer = (int) reader.readNumber(DeclarationRules.SLOTS, Optional.empty());
                int ejectionFloor = (int) reader.readNumber(DeclarationRules.FLOOR, Optional.empty());
                long defaultDeadlineMillis = reader.readNumber(DeclarationRules.DEADLINE_MILLIS, Optional.empty());
                yield reader.finish() && nameProblem.isEmpty()
                        ? Optional.of(new ServiceDeclaration(
                                key.name(), slotsPerServer, ejectionFloor, defaultDeadlineMillis))
                        : Optional.empty();
            }
            case SELECTOR -> readSelector(key.name(), reader, nameProblem.isEmpty());
            case LIMITS -> {
                boolean hasAllowedName = key.name().equals(ConnectionLimits.NAME);
                if (!hasAllowedName) {
                    problemReporter.accept(path, "the only name of limits is " + ConnectionLimits.NAME);
                }
                yield readConnectionLimits(reader).filter(limits -> hasAllowedName);
            }
            case CUSTOMER -> readCustomer(key.name(), reader, nameProblem.isEmpty());
        };
    }

    private static Optional<Declaration> readConnectionLimits(FieldReader reader) {
        long headerBytes = reader.readNumber(DeclarationRules.HEADER_BYTES, Optional.of(0));
        long bodyBytes = reader.readNumber(DeclarationRules.BODY_BYTES, Optional.of(0));
        long headerMillis = reader.readNumber(DeclarationRules.HEADER_MILLIS, Optional.of(0));
        long idleMillis = reader.readNumber(DeclarationRules.IDLE_MILLIS, Optional.of(0));
        return reader.finish()
                ? Optional.of(new ConnectionLimits(headerBytes, bodyBytes, headerMillis, idleMillis))
                : Optional.empty();
    }

    private static Optional<Declaration> readCustomer(String name, FieldReader reader, boolean isNameValid) {
        Set<String> digests = new TreeSet<>(reader.readTexts(KEY_DIGESTS, DeclarationRules::keyDigestProblem));
        reader.readSecretTexts("keys", DeclarationRules::keyProblem).stream()
                .map(CustomerDeclaration::keyDigest)
                .forEach(digests::add);
        int urgencyRank = (int) reader.readNumber(DeclarationRules.URGENCY, Optional.of(NO_URGENCY));
        double requestsPerSecond =
                reader.readDecimal("requests-per-second", 0, DeclarationRules::requestsPerSecondProblem);
        long burst = reader.readNumber(DeclarationRules.BURST, Optional.of(0));
        OptionalInt declaredRank = urgencyRank == NO_URGENCY ? OptionalInt.empty() : OptionalInt.of(urgencyRank);
        return reader.finish() && isNameValid
                ? Optional.of(new CustomerDeclaration(name, digests, declaredRank, requestsPerSecond, burst))
                : Optional.empty();
    }

    private static Optional<Declaration> readSelector(String name, FieldReader reader, boolean isNameValid) {
        String service = reader.readText("service", Optional.empty(), DeclarationRules::nameProblem);
        var methods = reader.readTexts("methods", DeclarationRules::methodProblem);
        String path = reader.readText("path", Optional.empty(), DeclarationRules::pathProblem);
        String customerPattern = reader.readText("callers", Optional.of("*"), DeclarationRules::globProblem);
        Map<String, String> requiredLabels = reader.readLabels("servers", false, DeclarationRules::labelsProblem);
        int weight = (int) reader.readNumber(DeclarationRules.WEIGHT, Optional.of(1));
        boolean repeatable = reader.readFlag("repeatable", false);
        String cost = reader.readText("cost", Optional.of("learned"), DeclarationCodec::costProblem);
        int priority = (int) reader.readNumber(DeclarationRules.PRIORITY, Optional.of(0));
        String host = reader.readText("host", Optional.of(""), DeclarationRules::hostProblem);
        boolean anonymous = reader.readFlag("anonymous", false);
        RequestLimits limits = readRequestLimits(reader);
        if (!reader.finish() || !isNameValid) {
            return Optional.empty();
        }
        CostHint costHint = CostHint.valueOf(cost.toUpperCase(Locale.ROOT));
        return Optional.of(new Selector(
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
                host,
                anonymous,
                limits));
    }

    private static RequestLimits readRequestLimits(FieldReader reader) {
        RequestLimits defaults = RequestLimits.defaults();
        long timeoutMillis = reader.readNumber(DeclarationRules.TIMEOUT_MILLIS, Optional.of(0));
        long targetLatencyMillis = reader.readNumber(DeclarationRules.TARGET_MILLIS, Optional.of(0));
        int maximumAttempts =
                (int) reader.readNumber(DeclarationRules.MAXIMUM_ATTEMPTS, Optional.of(defaults.maximumAttempts()));
        int urgencyRank = (int) reader.readNumber(DeclarationRules.URGENCY, Optional.of(defaults.urgencyRank()));
        // Values out of range were reported; the defaults replace them until the findings are thrown.
        return reader.hasProblems()
                ? defaults
                : new RequestLimits(timeoutMillis, targetLatencyMillis, maximumAttempts, urgencyRank);
    }

    private static Optional<String> costProblem(String cost) {
        return switch (cost) {
            case "learned", "short", "long" -> Optional.empty();
            default -> Optional.of("cost must be learned, short or long, but is \"" + cost + "\"");
        };
    }

    /**
     * Writes the fields of a declaration. Equal declarations result in equal documents.
     *
     * @param declaration the declaration
     * @return the table of the fields, without the kind and name of the entity
     */
    public static ObjectNode write(Declaration declaration) {
        return write(declaration, false);
    }

    /**
     * Writes the fields of a declaration, also those of a selector that {@link #write} leaves out because they have
     * their default values. A missing urgency of a customer has no default and is left out.
     */
    static ObjectNode writeWithDefaults(Declaration declaration) {
        return write(declaration, true);
    }

    private static ObjectNode write(Declaration declaration, boolean withDefaults) {
        ObjectNode table = JsonNodeFactory.instance.objectNode();
        switch (declaration) {
            case LabelRule rule -> {
                table.put("instances", rule.instances());
                writeLabels(table.putObject("set"), rule.set());
            }
            case ServiceDeclaration service ->
                table.put("slots", service.slotsPerServer())
                        .put("floor", service.ejectionFloor())
                        .put("deadline-millis", service.defaultDeadlineMillis());
            case ConnectionLimits limits ->
                table.put("header-bytes", limits.headerBytes())
                        .put("body-bytes", limits.bodyBytes())
                        .put("header-millis", limits.headerMillis())
                        .put("idle-millis", limits.idleMillis());
            case CustomerDeclaration customer -> {
                var digests = table.putArray(KEY_DIGESTS);
                new TreeSet<>(customer.keyDigests()).forEach(digests::add);
                customer.urgencyRank().ifPresent(rank -> table.put("urgency", rank));
                table.put("requests-per-second", customer.requestsPerSecond()).put("burst", customer.burst());
            }
            case Selector selector -> {
                table.put("service", selector.service());
                var methods = table.putArray("methods");
                new TreeSet<>(selector.methods()).forEach(methods::add);
                table.put("path", selector.path()).put("callers", selector.customerPattern());
                writeLabels(table.putObject("servers"), selector.requiredLabels());
                table.put("weight", selector.weight())
                        .put("repeatable", selector.repeatable())
                        .put("cost", selector.costHint().name().toLowerCase(Locale.ROOT))
                        .put("priority", selector.priority());
                writeHostAndLimits(table, selector, withDefaults);
            }
        }
        return table;
    }

    private static void writeHostAndLimits(ObjectNode table, Selector selector, boolean withDefaults) {
        if (withDefaults || !selector.host().isEmpty()) {
            table.put("host", selector.host());
        }
        if (withDefaults || selector.anonymous()) {
            table.put("anonymous", selector.anonymous());
        }
        RequestLimits limits = selector.limits();
        if (withDefaults || !limits.equals(RequestLimits.defaults())) {
            table.put("timeout-millis", limits.timeoutMillis())
                    .put("target-millis", limits.targetLatencyMillis())
                    .put("maximum-attempts", limits.maximumAttempts())
                    .put("urgency", limits.urgencyRank());
        }
    }

    private static void writeLabels(ObjectNode table, Map<String, String> labels) {
        new TreeMap<>(labels).forEach(table::put);
    }
}
