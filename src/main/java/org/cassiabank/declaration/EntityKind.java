package org.cassiabank.declaration;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;

/**
 * The kinds of entities that operators declare.
 */
public enum EntityKind {
    /** A rule that sets labels on instances. */
    LABEL,
    /** A service. */
    SERVICE,
    /** A rule that sends requests to servers of a service. */
    SELECTOR,
    /** The limits on what callers send. */
    LIMITS;

    /**
     * Returns the word for the kind in files, documents and commands.
     *
     * @return the name in lower case
     */
    public String keyword() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the words of all kinds for messages about one that is not known.
     *
     * @return the words with commas and a last {@code or}
     */
    public static String describeKeywords() {
        List<String> words = Arrays.stream(values()).map(EntityKind::keyword).toList();
        return String.join(", ", words.subList(0, words.size() - 1)) + " or " + words.getLast();
    }

    /**
     * Finds a kind by its word.
     *
     * @param word the word, for example {@code service}
     * @return the kind, or empty if there is none of that name
     */
    public static Optional<EntityKind> fromKeyword(String word) {
        Objects.requireNonNull(word, "word");
        for (EntityKind kind : values()) {
            if (kind.keyword().equals(word)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
