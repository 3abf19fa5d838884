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
    /** A service and its limits. */
    SERVICE,
    /** A rule that selects the service and the backend servers for requests. */
    SELECTOR,
    /** The limits on the requests and connections of callers. */
    LIMITS,
    /** A customer, whose callers identify themselves with keys. */
    CUSTOMER;

    /**
     * Returns the keyword of the kind in files, documents and commands.
     *
     * @return the name in lower case
     */
    public String keyword() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the keywords of all kinds for messages about an unknown one.
     *
     * @return the keywords, separated by commas and a final {@code or}
     */
    public static String describeKeywords() {
        List<String> keywords = Arrays.stream(values()).map(EntityKind::keyword).toList();
        return String.join(", ", keywords.subList(0, keywords.size() - 1)) + " or " + keywords.getLast();
    }

    /**
     * Finds a kind by its keyword.
     *
     * @param keyword the keyword, for example {@code service}
     * @return the kind, or empty if no kind has this keyword
     */
    public static Optional<EntityKind> fromKeyword(String keyword) {
        Objects.requireNonNull(keyword, "keyword");
        for (EntityKind kind : values()) {
            if (kind.keyword().equals(keyword)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
