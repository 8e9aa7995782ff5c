package rampshift.policy;

/** The last values of one measurement, up to a fixed count. */
final class SampleWindow {
    private final double[] values;
    private int count;
    private int next;
    /** The cached sum, NaN after a change; it is read far more often than values are added. */
    private double sum = Double.NaN;

    SampleWindow(int capacity) {
        values = new double[capacity];
    }

    /** Creates the given number of windows. */
    static SampleWindow[] createAll(int count, int capacity) {
        SampleWindow[] windows = new SampleWindow[count];
        for (int i = 0; i < count; i++) {
            windows[i] = new SampleWindow(capacity);
        }
        return windows;
    }

    /** Adds a value, in place of the oldest where the window is full. */
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

    /** Returns one of the values, which are in no order. */
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

    /** Returns the oldest value in the window. */
    double oldest() {
        return values[count < values.length ? 0 : next];
    }

    void clear() {
        count = 0;
        next = 0;
        sum = Double.NaN;
    }
}
