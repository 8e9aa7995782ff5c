package rampshift.policy;

/** The last few values of one measurement. */
final class SampleWindow {
    private final double[] values;
    private int count;
    private int next;
    /** NaN where not known since the last change: it is asked for far more often than that. */
    private double sum = Double.NaN;

    SampleWindow(int capacity) {
        values = new double[capacity];
    }

    /** So many windows. */
    static SampleWindow[] createAll(int count, int capacity) {
        SampleWindow[] windows = new SampleWindow[count];
        for (int i = 0; i < count; i++) {
            windows[i] = new SampleWindow(capacity);
        }
        return windows;
    }

    /** Adds a value; the oldest goes where the window is full. */
    void put(double value) {
        values[next] = value;
        sum = Double.NaN;
        next = (next + 1) % values.length;
        if (count < values.length) {
            count++;
        }
    }

    int count() {
        return count;
    }

    double sum() {
        if (Double.isNaN(sum)) {
            sum = 0;
            for (int i = 0; i < count; i++) {
                sum += values[i];
            }
        }
        return sum;
    }

    double mean(double ifNone) {
        return count == 0 ? ifNone : sum() / count;
    }

    /** One of the values, in no order. */
    double get(int index) {
        return values[index];
    }

    double max(double ifNone) {
        double max = count == 0 ? ifNone : values[0];
        for (int i = 1; i < count; i++) {
            max = Math.max(max, values[i]);
        }
        return max;
    }

    /** The value that was put first of those still held. */
    double oldest() {
        return values[count < values.length ? 0 : next];
    }

    void clear() {
        count = 0;
        next = 0;
        sum = Double.NaN;
    }
}
