package org.cassiabank.declaration;

import java.util.Objects;

/**
 * A pattern in which {@code *} stands for any characters, also none, and {@code ?} for exactly one.
 *
 * @param text the pattern as written
 */
public record GlobPattern(String text) {

    /**
     * Checks the pattern.
     */
    public GlobPattern {
        Objects.requireNonNull(text, "text");
        DeclarationRules.require(DeclarationRules.globProblem(text));
    }

    /**
     * Tells whether a text matches the whole pattern.
     *
     * @param candidate the text
     * @return true if it matches
     */
    public boolean matches(String candidate) {
        int inPattern = 0;
        int inCandidate = 0;
        int star = -1;
        int afterStar = 0;
        while (inCandidate < candidate.length()) {
            char expected = inPattern < text.length() ? text.charAt(inPattern) : 0;
            if (expected == '*') {
                star = inPattern++;
                afterStar = inCandidate;
            } else if (inPattern < text.length() && (expected == '?' || expected == candidate.charAt(inCandidate))) {
                inPattern++;
                inCandidate++;
            } else if (star >= 0) {
                inPattern = star + 1;
                inCandidate = ++afterStar;
            } else {
                return false;
            }
        }
        while (inPattern < text.length() && text.charAt(inPattern) == '*') {
            inPattern++;
        }
        return inPattern == text.length();
    }

    /**
     * Returns the part before the first special character.
     *
     * @return the prefix that every matching text has
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
     * Returns how many characters are not special; a pattern with more of them is the more specific one.
     *
     * @return the number of literal characters
     */
    public int literalCharacters() {
        return (int) text.chars().filter(next -> !isSpecial((char) next)).count();
    }

    /**
     * Tells whether every text that matches another pattern certainly matches this one.
     *
     * @param other the other pattern
     * @return true if this is certain; false if it is not the case or cannot be told easily
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

    private static boolean isSpecial(char next) {
        return next == '*' || next == '?';
    }
}
