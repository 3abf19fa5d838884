package org.cassiabank.load;

import java.util.List;

/**
 * A line of a chart. JSON reports contain the components by name.
 *
 * @param name the name in the legend
 * @param x the values of the horizontal axis
 * @param y the values of the vertical axis, as many as of the horizontal one
 */
public record Series(String name, List<Double> x, List<Double> y) {

    /**
     * Copies the values.
     *
     * @throws IllegalArgumentException if the numbers of x and y values differ
     */
    public Series {
        x = List.copyOf(x);
        y = List.copyOf(y);
        if (x.size() != y.size()) {
            throw new IllegalArgumentException("a series needs as many x as y values");
        }
    }
}
