package org.cassiabank.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Reports the result of an experiment as a text table, a JSON document or a chart.
 */
public final class ExperimentReports {
    private static final String ROW_FORMAT = "%-58s %14s %-10s %-12s %s%n";

    private ExperimentReports() {}

    /**
     * Prints the settings, a table of the measures, the notes and the overall result.
     *
     * @param name the name of the experiment
     * @param settings the settings of the experiment
     * @param result the result of the experiment
     * @param output the stream to print to
     */
    public static void printTable(
            String name, ExperimentSettings settings, ExperimentResult result, PrintStream output) {
        output.println("experiment " + name + ", seed " + settings.seed() + ", " + settings.proxyCount() + " proxies, "
                + settings.durationSeconds() + " s");
        output.println("scale: " + result.scale());
        output.println("machine: " + describeMachine());
        output.printf(ROW_FORMAT, "measure", "value", "unit", "target", "result");
        for (Measure measure : result.measures()) {
            String targetResult = measure.formatTarget().isEmpty() ? "" : measure.passes() ? "pass" : "FAIL";
            output.printf(
                    ROW_FORMAT,
                    measure.name(),
                    measure.formatValue(),
                    measure.unit(),
                    measure.formatTarget(),
                    targetResult);
        }
        result.notes().forEach(note -> output.println("note: " + note));
        output.println(result.passes() ? "pass" : "FAIL");
    }

    /**
     * Writes the settings, measures, notes and series as a JSON document. A value that was not measured is null.
     *
     * @param name the name of the experiment
     * @param settings the settings of the experiment
     * @param result the result of the experiment
     * @param file the file, which is replaced if it exists
     * @throws IOException if the file cannot be written
     */
    public static void writeJson(String name, ExperimentSettings settings, ExperimentResult result, Path file)
            throws IOException {
        List<Map<String, Object>> measures = new ArrayList<>();
        for (Measure measure : result.measures()) {
            Map<String, Object> measureDocument = new LinkedHashMap<>();
            measureDocument.put("name", measure.name());
            measureDocument.put("value", Double.isNaN(measure.value()) ? null : measure.value());
            measureDocument.put("unit", measure.unit());
            measureDocument.put("target", measure.formatTarget());
            measureDocument.put("passes", measure.passes());
            measures.add(measureDocument);
        }
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("experiment", name);
        document.put("seed", settings.seed());
        document.put("proxies", settings.proxyCount());
        document.put("seconds", settings.durationSeconds());
        document.put("scale", result.scale());
        document.put("machine", describeMachine());
        document.put("passes", result.passes());
        document.put("measures", measures);
        document.put("notes", result.notes());
        document.put("series", result.series());
        Files.writeString(
                file, new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(document) + "\n");
    }

    /**
     * Draws the series as a line chart and writes it as a PNG image.
     *
     * @param name the name of the experiment, which is the title
     * @param result the result of the experiment
     * @param file the file, whose name ends in {@code .png}
     * @throws IOException if the file cannot be written
     * @throws IllegalArgumentException if the result has no series
     */
    public static void writeChart(String name, ExperimentResult result, Path file) throws IOException {
        if (result.series().isEmpty()) {
            throw new IllegalArgumentException("experiment " + name + " has no series to draw");
        }
        System.setProperty("java.awt.headless", "true");
        XYChart chart = new XYChartBuilder().width(1000).height(600).title(name).build();
        for (Series series : result.series()) {
            chart.addSeries(series.name(), series.x(), series.y()).setMarker(SeriesMarkers.NONE);
        }
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    private static String describeMachine() {
        return String.format(
                Locale.ROOT,
                "%d processors, load average of the last minute %.1f at the end",
                Runtime.getRuntime().availableProcessors(),
                ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
    }
}
