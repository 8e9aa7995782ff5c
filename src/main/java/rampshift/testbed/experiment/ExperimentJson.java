package rampshift.testbed.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;

/** Formats the results of an experiment as JSON. */
final class ExperimentJson {
    private ExperimentJson() {}

    /** Returns a new object with all outcomes, medians and differences. */
    static ObjectNode of(Path planFile, ExperimentResults results) {
        ObjectNode root = new ObjectMapper().createObjectNode();
        root.put("file", planFile.getFileName().toString()).put("confidence", results.confidence());
        ArrayNode seeds = root.putArray("seeds");
        results.validSeeds().forEach(seeds::add);
        ObjectNode runs = root.putObject("runs");
        for (String arm : results.arms()) {
            ObjectNode runsOfArm = runs.putObject(arm);
            results.outcomes(arm).forEach(
                    (seed, outcome) -> runsOfArm.set(String.valueOf(seed), OutcomeJson.of(outcome)));
        }
        addMedians(root.putObject("medians"), results);
        addDifferences(root.putObject("differences"), results);
        return root;
    }

    private static void addMedians(ObjectNode medians, ExperimentResults results) {
        for (String arm : results.arms()) {
            ObjectNode mediansOfArm = medians.putObject(arm);
            for (Figure figure : Figure.values()) {
                addInterval(mediansOfArm, figure, results.median(arm, figure));
            }
        }
    }

    private static void addDifferences(ObjectNode differences, ExperimentResults results) {
        for (String arm : results.arms()) {
            if (results.isBaseline(arm)) {
                continue;
            }
            ObjectNode differencesOfArm = differences.putObject(arm);
            for (Figure figure : Figure.values()) {
                ConfidenceInterval difference = results.medianDifference(arm, figure);
                addInterval(differencesOfArm, figure, difference).put("verdict",
                        difference.differenceVerdict());
            }
        }
    }

    private static ObjectNode addInterval(ObjectNode parent, Figure figure, ConfidenceInterval interval) {
        return parent.putObject(figure.label()).put("median", interval.median()).put("low", interval.low())
                .put("high", interval.high()).put("confidence", interval.confidence());
    }
}
