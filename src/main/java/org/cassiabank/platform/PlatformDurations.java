package org.cassiabank.platform;

import java.math.BigDecimal;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses and formats durations of the form {@code 1500ms} or {@code 2.5s}.
 */
final class PlatformDurations {
    private static final Pattern DURATION_PATTERN = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)(ms|s)");
    private static final BigDecimal MILLIS_PER_SECOND = BigDecimal.valueOf(1_000);

    private PlatformDurations() {}

    /**
     * Parses a duration.
     *
     * @param text a decimal number with the unit {@code ms} or {@code s}
     * @return the duration in milliseconds, fractions of a millisecond rounded down
     * @throws IllegalArgumentException if the text has another form
     */
    static long parseMillis(String text) {
        Matcher matcher = DURATION_PATTERN.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException("expected a number with the unit ms or s, not \"" + text + "\"");
        }
        BigDecimal amount = new BigDecimal(matcher.group(1));
        return (matcher.group(2).equals("s") ? amount.multiply(MILLIS_PER_SECOND) : amount).longValue();
    }

    static String formatMillis(long millis) {
        return millis + "ms";
    }
}
