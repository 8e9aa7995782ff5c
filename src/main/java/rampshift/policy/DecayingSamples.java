package rampshift.policy;

import rampshift.time.Moment;
import rampshift.time.Span;

/** The last few values of one measurement and when each was taken; a value loses its weight as it ages. */
final class DecayingSamples {
    private final SampleWindow values;
    private final SampleWindow timesMs;
    /** The last mean and what it was asked for: a task's candidates ask for the same one in turn. */
    private double cachedMean = Double.NaN;
    private long cachedNowMicros;
    private long cachedDecayMicros;
    private double cachedPrior;
    private double cachedPriorWeight;

    DecayingSamples(int capacity) {
        values = new SampleWindow(capacity);
        timesMs = new SampleWindow(capacity);
    }

    void put(Moment now, double value) {
        cachedMean = Double.NaN;
        values.put(value);
        timesMs.put(now.millis());
    }

    int count() {
        return values.count();
    }

    double get(int index) {
        return values.get(index);
    }

    /** How much the value counts by its age, 0 to 1: a third after one fade, a seventh after two. */
    double weight(int index, Moment now, Span decayTime) {
        return Math.exp((timesMs.get(index) - now.millis()) / decayTime.millis());
    }

    /** The mean by these weights, with a prior value of the stated weight. */
    double mean(Moment now, Span decayTime, double prior, double priorWeight) {
        if (isCachedMean(now, decayTime, prior, priorWeight)) {
            return cachedMean;
        }
        double sum = prior * priorWeight;
        double weights = priorWeight;
        for (int i = 0; i < values.count(); i++) {
            double weight = weight(i, now, decayTime);
            weights += weight;
            sum += weight * values.get(i);
        }
        cachedNowMicros = now.micros();
        cachedDecayMicros = decayTime.micros();
        cachedPrior = prior;
        cachedPriorWeight = priorWeight;
        cachedMean = sum / weights;
        return cachedMean;
    }

    private boolean isCachedMean(Moment now, Span decayTime, double prior, double priorWeight) {
        return !Double.isNaN(cachedMean) && now.micros() == cachedNowMicros
                && decayTime.micros() == cachedDecayMicros
                && prior == cachedPrior && priorWeight == cachedPriorWeight;
    }

    void clear() {
        cachedMean = Double.NaN;
        values.clear();
        timesMs.clear();
    }
}
