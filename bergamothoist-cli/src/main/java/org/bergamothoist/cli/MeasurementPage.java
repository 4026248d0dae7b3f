package org.bergamothoist.cli;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.bergamothoist.measure.MeasurementRow;

/** Shows a measurement as an HTML page with a bar chart for each scenario and figure. */
final class MeasurementPage {

    private static final int LABEL_WIDTH = 140;
    private static final int BAR_WIDTH = 300;
    private static final int BAR_HEIGHT = 18;
    private static final int VALUE_WIDTH = 100;
    private static final int TEXT_OFFSET = 13;

    private static final List<Figure> FIGURES =
            List.of(
                    new Figure("hit rate", "%.4f", MeasurementRow::hitRate),
                    new Figure(
                            "time to first token, 99th percentile (ms)",
                            "%.0f",
                            MeasurementRow::ttftP99Milliseconds),
                    new Figure("wasted tokens", "%.0f", MeasurementRow::wastedTokens));

    private MeasurementPage() {}

    private record Figure(String title, String format, ToDoubleFunction<MeasurementRow> value) {}

    /** Returns the page. */
    static String of(String deployment, long seed, List<MeasurementRow> rows) {
        String title = "Placement policies, deployment " + deployment + ", seed " + seed;
        StringBuilder page = new StringBuilder();
        page.append("<!DOCTYPE html>\n<html lang=\"en\">\n<meta charset=\"utf-8\">\n<title>")
                .append(title)
                .append("</title>\n<style>body,svg{font:13px sans-serif}</style>\n<h1>")
                .append(title)
                .append("</h1>\n");
        Set<String> scenarios = new LinkedHashSet<>();
        rows.forEach(row -> scenarios.add(row.scenario()));
        for (String scenario : scenarios) {
            List<MeasurementRow> shown = new ArrayList<>(rows);
            shown.removeIf(row -> !row.scenario().equals(scenario));
            page.append("<h2>").append(scenario).append("</h2>\n");
            FIGURES.forEach(figure -> page.append(chart(figure, shown)));
        }
        return page.append("</html>\n").toString();
    }

    private static String chart(Figure figure, List<MeasurementRow> rows) {
        double largest = rows.stream().mapToDouble(figure.value()).max().orElse(0);
        StringBuilder chart = new StringBuilder();
        chart.append("<h3>").append(figure.title()).append("</h3>\n");
        chart.append(
                "<svg width=\"%d\" height=\"%d\" role=\"img\">%n"
                        .formatted(
                                LABEL_WIDTH + BAR_WIDTH + VALUE_WIDTH, rows.size() * BAR_HEIGHT));
        for (int index = 0; index < rows.size(); index++) {
            MeasurementRow row = rows.get(index);
            double value = figure.value().applyAsDouble(row);
            long width = largest == 0 ? 0 : Math.round(BAR_WIDTH * value / largest);
            int top = index * BAR_HEIGHT;
            chart.append(text(0, top, row.policy()));
            chart.append(
                    "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"#4a7\"/>%n"
                            .formatted(LABEL_WIDTH, top + 1, width, BAR_HEIGHT - 2));
            String label = String.format(Locale.ROOT, figure.format(), value);
            chart.append(text(LABEL_WIDTH + width + 4, top, label));
        }
        return chart.append("</svg>\n").toString();
    }

    private static String text(long left, int top, String text) {
        return "<text x=\"%d\" y=\"%d\">%s</text>%n".formatted(left, top + TEXT_OFFSET, text);
    }
}
