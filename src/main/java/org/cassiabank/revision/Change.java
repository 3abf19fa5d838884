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
 * One accepted change of the configuration.
 *
 * @param revision the revision that the change leads to, at least 1
 * @param operationId the unique id of the operation
 * @param edits the edits, each of another entity, at least one
 */
public record Change(long revision, String operationId, List<Edit> edits) {
    private static final int LONGEST_OPERATION = 200;

    /**
     * Checks the components.
     */
    public Change {
        Objects.requireNonNull(operationId, "operationId");
        edits = List.copyOf(edits);
        if (revision < 1) {
            throw new IllegalArgumentException("revision is below 1: " + revision);
        }
        if (operationId.isBlank() || operationId.length() > LONGEST_OPERATION) {
            throw new IllegalArgumentException("operation id must have 1 to " + LONGEST_OPERATION + " characters");
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
     * @return the document in UTF-8
     */
    public byte[] toDocument() {
        return ChangeCodec.write(this);
    }

    /**
     * Reads a change from a JSON document.
     *
     * @param document the document in UTF-8
     * @return the change
     * @throws CassiabankException with all findings if the document is not a valid change
     */
    public static Change fromDocument(byte[] document) {
        return ChangeCodec.read(document);
    }

    /**
     * Applies the change to the configuration before it.
     *
     * @param configuration the configuration at the preceding revision
     * @return the configuration at the revision of this change
     * @throws CassiabankException with {@link ErrorCode#INVALID_INPUT} if the change does not fit the configuration
     */
    public Configuration applyTo(Configuration configuration) {
        if (configuration.revision() + 1 != revision) {
            throw invalid("does not follow revision " + configuration.revision());
        }
        List<Declaration> puts = new ArrayList<>();
        List<EntityKey> deletes = new ArrayList<>();
        for (Edit edit : edits) {
            if (!edit.isBasedOn(configuration)) {
                long present = configuration
                        .find(edit.key())
                        .map(entity -> entity.revision())
                        .orElse(0L);
                throw invalid("edits " + edit.key() + " as of revision " + edit.readRevision()
                        + ", but it was last changed at revision " + present);
            }
            switch (edit) {
                case PutEdit put -> puts.add(put.declaration());
                case DeleteEdit delete -> deletes.add(delete.key());
            }
        }
        return configuration.withChanges(revision, puts, deletes);
    }

    private CassiabankException invalid(String problem) {
        return CassiabankException.of(
                ErrorCode.INVALID_INPUT, "change " + revision + " of operation " + operationId + " " + problem);
    }
}
