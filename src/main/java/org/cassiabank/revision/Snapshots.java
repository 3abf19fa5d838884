package org.cassiabank.revision;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.cassiabank.declaration.Configuration;
import org.cassiabank.declaration.DeclarationCodec;
import org.cassiabank.declaration.EntityKey;
import org.cassiabank.declaration.EntityKind;
import org.cassiabank.declaration.VersionedDeclaration;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.kernel.Finding;
import org.cassiabank.kernel.FindingCollector;

/**
 * Reads and writes complete configurations as compressed JSON: a first object with the revision and the number of
 * entities, then one object per entity. Objects are read one by one, because the JSON tree of 360,000 selectors would
 * not fit into the memory of a daemon.
 */
final class Snapshots {
    private static final JsonMapper JSON = JsonMapper.builder().build();
    private static final ObjectReader NODE_READER = JSON.readerFor(JsonNode.class);
    private static final String SOURCE = "snapshot";

    private Snapshots() {}

    /** Writes a configuration. Entities are sorted by key, so that equal configurations give equal bytes. */
    static byte[] write(Configuration configuration) {
        List<VersionedDeclaration> entities =
                new ArrayList<>(configuration.entities().values());
        entities.sort(Comparator.comparing(entity -> entity.declaration().key()));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator generator = JSON.createGenerator(new GZIPOutputStream(bytes))) {
            ObjectNode header = JSON.createObjectNode();
            header.put("revision", configuration.revision()).put("entities", entities.size());
            generator.writeTree(header);
            for (VersionedDeclaration entity : entities) {
                EntityKey key = entity.declaration().key();
                ObjectNode node = JSON.createObjectNode();
                node.put("kind", key.kind().keyword()).put("name", key.name()).put("revision", entity.revision());
                node.set("declaration", DeclarationCodec.write(entity.declaration()));
                generator.writeTree(node);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * Reads a configuration that {@link #write} wrote.
     *
     * @throws CassiabankException with {@link ErrorCode#INVALID_INPUT} if the snapshot is damaged
     */
    static Configuration read(byte[] snapshot) {
        try (MappingIterator<JsonNode> nodes =
                NODE_READER.readValues(new GZIPInputStream(new ByteArrayInputStream(snapshot)))) {
            JsonNode header = nodes.hasNextValue() ? nodes.nextValue() : JSON.createObjectNode();
            long revision = header.path("revision").asLong(-1);
            long count = header.path("entities").asLong(-1);
            if (revision < 0 || count < 0) {
                throw damaged("the first object must have a revision and a number of entities", null);
            }
            List<VersionedDeclaration> entities = new ArrayList<>();
            FindingCollector findings = FindingCollector.create();
            while (nodes.hasNextValue()) {
                readEntity(nodes.nextValue(), findings).ifPresent(entities::add);
            }
            findings.throwIfAny();
            if (entities.size() != count) {
                throw damaged("it has " + entities.size() + " entities instead of " + count, null);
            }
            return Configuration.of(revision, entities);
        } catch (IOException | IllegalArgumentException e) {
            throw damaged(e.getMessage(), e);
        }
    }

    private static Optional<VersionedDeclaration> readEntity(JsonNode node, FindingCollector findings) {
        String name = node.path("name").asText();
        String kindKeyword = node.path("kind").asText();
        Optional<EntityKind> kind = EntityKind.fromKeyword(kindKeyword);
        long revision = node.path("revision").asLong();
        if (kind.isEmpty() || revision < 1) {
            findings.add(Finding.of(SOURCE, kindKeyword + "." + name, "unknown kind or missing revision"));
            return Optional.empty();
        }
        EntityKey key = new EntityKey(kind.get(), name);
        return DeclarationCodec.read(
                        key,
                        node.path("declaration"),
                        key.toString(),
                        (field, problem) -> findings.add(Finding.of(SOURCE, field, problem)))
                .map(declaration -> new VersionedDeclaration(declaration, revision));
    }

    private static CassiabankException damaged(String problem, Exception cause) {
        return CassiabankException.withCause(ErrorCode.INVALID_INPUT, "damaged snapshot: " + problem, cause);
    }
}
