package rampshift.testbed.experiment;

import de.erichseifert.vectorgraphics2d.Document;
import de.erichseifert.vectorgraphics2d.Processors;
import de.erichseifert.vectorgraphics2d.VectorGraphics2D;
import de.erichseifert.vectorgraphics2d.util.PageSize;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Base64;
import org.knowm.xchart.XYChart;

/** Formats charts as SVG images for HTML pages. */
final class SvgImage {
    private SvgImage() {}

    /**
     * Returns an image element that contains the chart as a data URL. Inline SVG elements on the same page
     * would have clip paths with conflicting names.
     */
    static String of(XYChart chart) throws IOException {
        VectorGraphics2D canvas = new VectorGraphics2D();
        chart.paint(canvas, chart.getWidth(), chart.getHeight());
        PageSize size = new PageSize(0, 0, chart.getWidth(), chart.getHeight());
        Document svg = Processors.get("svg").getDocument(canvas.getCommands(), size);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        svg.writeTo(bytes);
        return "<img alt=\"" + Report.escape(chart.getTitle()) + "\" src=\"data:image/svg+xml;base64,"
                + Base64.getEncoder().encodeToString(bytes.toByteArray()) + "\">";
    }
}
