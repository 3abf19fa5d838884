package org.cassiabank.backend;

import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.cassiabank.admission.RateLimitNotice;

/**
 * Reads the header in which a backend server names the requests a second that it accepts.
 */
final class RateLimitHeader {
    /** Excludes signs, exponents, NaN and numbers that are not finite as a double. */
    private static final Pattern DECIMAL_NUMBER = Pattern.compile("\\d{1,12}(\\.\\d{1,12})?");

    private RateLimitHeader() {}

    /**
     * Reads the limit that a response names.
     *
     * @param values the values of the header in the order of the response
     * @return the limit, {@link RateLimitNotice.Unlimited} if there is no value; empty if the values are invalid
     */
    static Optional<RateLimitNotice> parse(List<String> values) {
        if (values.isEmpty()) {
            return Optional.of(new RateLimitNotice.Unlimited());
        }
        return values.size() == 1 && DECIMAL_NUMBER.matcher(values.getFirst()).matches()
                ? Optional.of(new RateLimitNotice.Limited(Double.parseDouble(values.getFirst())))
                : Optional.empty();
    }
}
