package org.cassiabank.declaration;

import java.util.Objects;

/**
 * A pattern in which {@code *} matches any number of characters, including none, and {@code ?} exactly one.
 *
 * @param text the pattern as written
 */
public record GlobPattern(String text) {

    /**
     * Checks the length and the characters of the pattern.
     *
     * @throws IllegalArgumentException if the pattern is empty, too long or contains an unsupported character
     */
    public GlobPattern {
        Objects.requireNonNull(text, "text");
        DeclarationRules.throwIfPresent(DeclarationRules.globProblem(text));
    }

    /**
     * Tells whether the pattern matches a whole text.
     *
     * @param candidate the text
     * @return true if it matches
     */
    public boolean matches(String candidate) {
        int patternIndex = 0;
        int candidateIndex = 0;
        int starIndex = -1;
        int starMatchEnd = 0;
        while (candidateIndex < candidate.length()) {
            char patternCharacter = patternIndex < text.length() ? text.charAt(patternIndex) : 0;
            if (patternCharacter == '*') {
                starIndex = patternIndex++;
                starMatchEnd = candidateIndex;
            } else if (patternIndex < text.length()
                    && (patternCharacter == '?' || patternCharacter == candidate.charAt(candidateIndex))) {
                patternIndex++;
                candidateIndex++;
            } else if (starIndex >= 0) {
                patternIndex = starIndex + 1;
                candidateIndex = ++starMatchEnd;
            } else {
                return false;
            }
        }
        while (patternIndex < text.length() && text.charAt(patternIndex) == '*') {
            patternIndex++;
        }
        return patternIndex == text.length();
    }

    /**
     * Returns the part before the first special character.
     *
     * @return the prefix of every matching text; the whole pattern if it has no special character
     */
    public String literalPrefix() {
        for (int index = 0; index < text.length(); index++) {
            if (isSpecial(text.charAt(index))) {
                return text.substring(0, index);
            }
        }
        return text;
    }

    /**
     * Tells whether the pattern has no special character.
     *
     * @return true if only the text itself matches
     */
    public boolean isLiteral() {
        return literalPrefix().length() == text.length();
    }

    /**
     * Returns how many characters are not special. A pattern with more of them is more specific.
     *
     * @return the number of literal characters
     */
    public int literalCharacters() {
        return (int)
                text.chars().filter(character -> !isSpecial((char) character)).count();
    }

    /**
     * Tells whether this pattern is known to match every text that another pattern matches. This is decided for equal
     * patterns, for a literal other pattern and for this pattern being a literal prefix followed by {@code *}.
     *
     * @param other the other pattern
     * @return true if every match of the other pattern matches this one; false if not or if it is not decided
     */
    public boolean covers(GlobPattern other) {
        if (text.equals(other.text)) {
            return true;
        }
        if (other.isLiteral()) {
            return matches(other.text);
        }
        String prefix = literalPrefix();
        return text.length() == prefix.length() + 1
                && text.endsWith("*")
                && other.literalPrefix().startsWith(prefix);
    }

    private static boolean isSpecial(char character) {
        return character == '*' || character == '?';
    }
}
