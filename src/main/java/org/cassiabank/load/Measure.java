package org.cassiabank.load;

import java.util.Locale;
import java.util.Objects;

/**
 * A figure of an experiment, with the target it must meet if there is one.
 *
 * @param name what was measured
 * @param value the figure; not a number if it could not be measured
 * @param unit the unit, empty for plain numbers
 * @param target the target
 */
public record Measure(String name, double value, String unit, Target target) {

    /**
     * Checks that no component is null.
     */
    public Measure {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(unit, "unit");
        Objects.requireNonNull(target, "target");
    }

    /**
     * Creates a figure without a target.
     *
     * @param name what was measured
     * @param value the figure
     * @param unit the unit
     * @return the measure
     */
    public static Measure of(String name, double value, String unit) {
        return new Measure(name, value, unit, new NoTarget());
    }

    /**
     * Creates a figure with an upper limit.
     *
     * @param name what was measured
     * @param value the figure
     * @param unit the unit
     * @param limit the highest value that meets the target
     * @return the measure
     */
    public static Measure atMost(String name, double value, String unit, double limit) {
        return new Measure(name, value, unit, new AtMost(limit));
    }

    /**
     * Creates a figure with a lower limit.
     *
     * @param name what was measured
     * @param value the figure
     * @param unit the unit
     * @param limit the lowest value that meets the target
     * @return the measure
     */
    public static Measure atLeast(String name, double value, String unit, double limit) {
        return new Measure(name, value, unit, new AtLeast(limit));
    }

    /**
     * Tells whether the target is met. A figure that could not be measured does not meet a target.
     *
     * @return true if there is no target or it is met
     */
    public boolean passes() {
        return switch (target) {
            case NoTarget none -> true;
            case AtMost atMost -> value <= atMost.limit();
            case AtLeast atLeast -> value >= atLeast.limit();
        };
    }

    /**
     * Describes the target.
     *
     * @return the limit with its direction, or an empty text
     */
    public String formatTarget() {
        return switch (target) {
            case NoTarget none -> "";
            case AtMost atMost -> "<= " + format(atMost.limit());
            case AtLeast atLeast -> ">= " + format(atLeast.limit());
        };
    }

    /**
     * Formats the figure.
     *
     * @return the figure without needless digits
     */
    public String formatValue() {
        return Double.isNaN(value) ? "not measured" : format(value);
    }

    private static String format(double number) {
        return number == Math.rint(number) && Math.abs(number) < 1e9
                ? Long.toString((long) number)
                : String.format(Locale.ROOT, "%.3f", number);
    }

    /** What a figure must meet. */
    public sealed interface Target permits NoTarget, AtMost, AtLeast {}

    /** The figure is only reported. */
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
