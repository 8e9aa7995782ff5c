package rampshift.policy;

import rampshift.time.Moment;
import rampshift.time.Span;

/** The last values of one measurement with the time of each; the weight of a value decays with its age. */
final class DecayingSamples {
    private final SampleWindow values;
    private final SampleWindow timesMs;
    /**
     * The last mean, NaN if there is none, with its arguments in the fields below: the candidates of a task
     * ask for the same mean one after another.
     */
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

    /**
     * Returns the weight of a value by its age, 0 to 1: about a third after one decay time, a seventh after
     * two.
     */
    double weight(int index, Moment now, Span decayTime) {
        return Math.exp((timesMs.get(index) - now.millis()) / decayTime.millis());
    }

    /** Returns the mean by these weights, including a prior with the given weight. */
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
