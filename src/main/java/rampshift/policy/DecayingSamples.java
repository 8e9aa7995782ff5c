package rampshift.policy;

import rampshift.time.Moment;
import rampshift.time.Span;

/** The last few values of one measurement and when each was taken; a value loses its say as it ages. */
final class DecayingSamples {
    private final SampleWindow values;
    private final SampleWindow when;
    /** The last mean and what it was asked for: a task's candidates ask for the same one in turn. */
    private double mean = Double.NaN;
    private Moment meanNow;
    private Span meanFade;
    private double meanOther;
    private double meanSay;

    DecayingSamples(int room) {
        values = new SampleWindow(room);
        when = new SampleWindow(room);
    }

    void put(Moment now, double value) {
        mean = Double.NaN;
        values.put(value);
        when.put(now.millis());
    }

    int count() {
        return values.count();
    }

    double get(int i) {
        return values.get(i);
    }

    /** How much the value counts, 0 to 1: a third after one fade, a seventh after two. */
    double say(int i, Moment now, Span fade) {
        return Math.exp((when.get(i) - now.millis()) / fade.millis());
    }

    /** The mean by say, with another value that counts as much as stated. */
    double mean(Moment now, Span fade, double other, double otherSay) {
        if (!Double.isNaN(mean) && now.equals(meanNow) && fade.equals(meanFade) && other == meanOther
                && otherSay == meanSay) {
            return mean;
        }
        double sum = other * otherSay;
        double weight = otherSay;
        for (int i = 0; i < values.count(); i++) {
            double say = say(i, now, fade);
            weight += say;
            sum += say * values.get(i);
        }
        meanNow = now;
        meanFade = fade;
        meanOther = other;
        meanSay = otherSay;
        mean = sum / weight;
        return mean;
    }

    void clear() {
        mean = Double.NaN;
        values.clear();
        when.clear();
    }
}
