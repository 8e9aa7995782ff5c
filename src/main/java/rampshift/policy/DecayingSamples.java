package rampshift.policy;

import rampshift.time.Moment;
import rampshift.time.Span;

/** The last few values of one measurement and when each was taken; a value loses its weight as it ages. */
final class DecayingSamples {
    private final SampleWindow values;
    private final SampleWindow when;
    /** The last mean and what it was asked for: a task's candidates ask for the same one in turn. */
    private double mean = Double.NaN;
    private long meanNowMicros;
    private long meanFadeMicros;
    private double meanPrior;
    private double meanPriorWeight;

    DecayingSamples(int capacity) {
        values = new SampleWindow(capacity);
        when = new SampleWindow(capacity);
    }

    void put(Moment now, double value) {
        mean = Double.NaN;
        values.put(value);
        when.put(now.millis());
    }

    int count() {
        return values.count();
    }

    double get(int index) {
        return values.get(index);
    }

    /** How much the value counts by its age, 0 to 1: a third after one fade, a seventh after two. */
    double weight(int index, Moment now, Span fade) {
        return Math.exp((when.get(index) - now.millis()) / fade.millis());
    }

    /** The mean by these weights, with a prior value of the stated weight. */
    double mean(Moment now, Span fade, double prior, double priorWeight) {
        if (isLastMeanOf(now, fade, prior, priorWeight)) {
            return mean;
        }
        double sum = prior * priorWeight;
        double weights = priorWeight;
        for (int i = 0; i < values.count(); i++) {
            double weight = weight(i, now, fade);
            weights += weight;
            sum += weight * values.get(i);
        }
        meanNowMicros = now.micros();
        meanFadeMicros = fade.micros();
        meanPrior = prior;
        meanPriorWeight = priorWeight;
        mean = sum / weights;
        return mean;
    }

    private boolean isLastMeanOf(Moment now, Span fade, double prior, double priorWeight) {
        return !Double.isNaN(mean) && now.micros() == meanNowMicros && fade.micros() == meanFadeMicros
                && prior == meanPrior && priorWeight == meanPriorWeight;
    }

    void clear() {
        mean = Double.NaN;
        values.clear();
        when.clear();
    }
}
