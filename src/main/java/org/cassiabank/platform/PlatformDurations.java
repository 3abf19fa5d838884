package org.cassiabank.platform;

import java.math.BigDecimal;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads durations of the form {@code 1500ms} or {@code 2.5s}.
 */
final class PlatformTimes {
    private static final Pattern FORM = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)(ms|s)");
    private static final BigDecimal MILLIS_PER_SECOND = BigDecimal.valueOf(1_000);

    private PlatformTimes() {}

    /** Returns a duration in milliseconds, fractions of a millisecond rounded down. */
    static long toMillis(String text) {
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException("expected a number with the unit ms or s, not \"" + text + "\"");
        }
        BigDecimal number = new BigDecimal(matcher.group(1));
        return (matcher.group(2).equals("s") ? number.multiply(MILLIS_PER_SECOND) : number).longValue();
    }

    static String ofMillis(long millis) {
        return millis + "ms";
    }
}
