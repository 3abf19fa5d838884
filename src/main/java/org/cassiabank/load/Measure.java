package org.cassiabank.load;

import java.util.Locale;
import java.util.Objects;

/**
 * A measured value of an experiment, with an optional target.
 *
 * @param name what was measured
 * @param value the value; NaN if it could not be measured
 * @param unit the unit, empty for a count or ratio
 * @param target the target, {@link NoTarget} if the value is only reported
 */
public record Measure(String name, double value, String unit, Target target) {

    /**
     * Checks that no component is null.
     *
     * @throws NullPointerException if the name, the unit or the target is null
     */
    public Measure {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(unit, "unit");
        Objects.requireNonNull(target, "target");
    }

    /**
     * Creates a measure without a target.
     *
     * @param name what was measured
     * @param value the value; NaN if it could not be measured
     * @param unit the unit, empty for a count or ratio
     * @return the measure
     */
    public static Measure of(String name, double value, String unit) {
        return new Measure(name, value, unit, new NoTarget());
    }

    /**
     * Creates a measure with an upper limit as target.
     *
     * @param name what was measured
     * @param value the value; NaN if it could not be measured
     * @param unit the unit, empty for a count or ratio
     * @param limit the highest value that meets the target
     * @return the measure
     */
    public static Measure atMost(String name, double value, String unit, double limit) {
        return new Measure(name, value, unit, new AtMost(limit));
    }

    /**
     * Creates a measure with a lower limit as target.
     *
     * @param name what was measured
     * @param value the value; NaN if it could not be measured
     * @param unit the unit, empty for a count or ratio
     * @param limit the lowest value that meets the target
     * @return the measure
     */
    public static Measure atLeast(String name, double value, String unit, double limit) {
        return new Measure(name, value, unit, new AtLeast(limit));
    }

    /**
     * Returns whether the target is met. A value that could not be measured does not meet a target.
     *
     * @return true if there is no target or the value is within its limit
     */
    public boolean passes() {
        return switch (target) {
            case NoTarget none -> true;
            case AtMost atMost -> value <= atMost.limit();
            case AtLeast atLeast -> value >= atLeast.limit();
        };
    }

    /**
     * Formats the target for reports.
     *
     * @return {@code <=} or {@code >=} and the limit, or an empty string without a target
     */
    public String formatTarget() {
        return switch (target) {
            case NoTarget none -> "";
            case AtMost atMost -> "<= " + format(atMost.limit());
            case AtLeast atLeast -> ">= " + format(atLeast.limit());
        };
    }

    /**
     * Formats the value for reports.
     *
     * @return an integer without decimals, another number with three decimals, or {@code not measured} for NaN
     */
    public String formatValue() {
        return Double.isNaN(value) ? "not measured" : format(value);
    }

    private static String format(double number) {
        return number == Math.rint(number) && Math.abs(number) < 1e9
                ? Long.toString((long) number)
                : String.format(Locale.ROOT, "%.3f", number);
    }

    /** The condition that a measured value must meet. */
    public sealed interface Target permits NoTarget, AtMost, AtLeast {}

    /** No condition; the value is only reported. */
    public record NoTarget() implements Target {}

    /**
     * An upper limit.
     *
     * @param limit the highest value that meets the target
     */
    public record AtMost(double limit) implements Target {}

    /**
     * A lower limit.
     *
     * @param limit the lowest value that meets the target
     */
    public record AtLeast(double limit) implements Target {}
}
