package org.cassiabank.revision;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.cassiabank.declaration.Configuration;
import org.cassiabank.declaration.Declaration;
import org.cassiabank.declaration.EntityKey;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;

/**
 * A change of the configuration from one revision to the next.
 *
 * @param revision the revision that the change leads to, at least 1
 * @param operationId the unique id of the operation, 1 to 200 characters, not blank
 * @param edits the edits, each of another entity, at least one
 */
public record Change(long revision, String operationId, List<Edit> edits) {
    private static final int MAXIMUM_OPERATION_ID_CHARACTERS = 200;

    /**
     * Creates a change with a copy of the edits.
     *
     * @throws IllegalArgumentException if the revision, the operation id or the edits are not as stated above
     */
    public Change {
        Objects.requireNonNull(operationId, "operationId");
        edits = List.copyOf(edits);
        if (revision < 1) {
            throw new IllegalArgumentException("revision is below 1: " + revision);
        }
        if (operationId.isBlank() || operationId.length() > MAXIMUM_OPERATION_ID_CHARACTERS) {
            throw new IllegalArgumentException(
                    "operation id must have 1 to " + MAXIMUM_OPERATION_ID_CHARACTERS + " characters and not be blank");
        }
        if (edits.isEmpty()) {
            throw new IllegalArgumentException("operation " + operationId + " has no edits");
        }
        Set<EntityKey> keys = new HashSet<>();
        for (Edit edit : edits) {
            if (!keys.add(edit.key())) {
                throw new IllegalArgumentException("operation " + operationId + " edits " + edit.key() + " twice");
            }
        }
    }

    /**
     * Writes the change as a JSON document.
     *
     * @return the JSON text in UTF-8
     */
    public byte[] toDocument() {
        return ChangeCodec.write(this);
    }

    /**
     * Reads a change from a JSON document.
     *
     * @param document the JSON text in UTF-8
     * @return the change
     * @throws CassiabankException with all findings if the document is not a change
     */
    public static Change fromDocument(byte[] document) {
        return ChangeCodec.read(document);
    }

    /**
     * Applies the change to the configuration of the preceding revision.
     *
     * @param configuration the configuration at the preceding revision
     * @return the configuration at the revision of this change
     * @throws CassiabankException with {@link ErrorCode#INVALID_INPUT} if the configuration has another revision, or if
     *     an edited entity was changed after the operator had read it
     */
    public Configuration applyTo(Configuration configuration) {
        if (configuration.revision() + 1 != revision) {
            throw invalidChangeException("does not follow revision " + configuration.revision());
        }
        List<Declaration> puts = new ArrayList<>();
        List<EntityKey> deletes = new ArrayList<>();
        for (Edit edit : edits) {
            if (!edit.isBasedOn(configuration)) {
                long presentRevision = configuration
                        .find(edit.key())
                        .map(entity -> entity.revision())
                        .orElse(0L);
                throw invalidChangeException("edits " + edit.key() + " as of revision " + edit.readRevision()
                        + ", but it was last changed at revision " + presentRevision);
            }
            switch (edit) {
                case PutEdit put -> puts.add(put.declaration());
                case DeleteEdit delete -> deletes.add(delete.key());
            }
        }
        return configuration.withChanges(revision, puts, deletes);
    }

    private CassiabankException invalidChangeException(String problem) {
        return CassiabankException.of(
                ErrorCode.INVALID_INPUT, "change " + revision + " of operation " + operationId + " " + problem);
    }
}
