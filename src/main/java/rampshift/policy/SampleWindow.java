package rampshift.policy;

/** The last few values of one measurement. */
public final class SampleWindow {
    private final double[] values;
    private int count;
    private int next;
    // not known since the last change: it is asked for far more often than that
    private double sum = Double.NaN;

    public SampleWindow(int room) {
        values = new double[room];
    }

    /** A row of samples for each of so many. */
    public static SampleWindow[] rows(int count, int room) {
        SampleWindow[] rows = new SampleWindow[count];
        for (int i = 0; i < count; i++) {
            rows[i] = new SampleWindow(room);
        }
        return rows;
    }

    public void put(double value) {
        values[next] = value;
        sum = Double.NaN;
        next = (next + 1) % values.length;
        if (count < values.length) {
            count++;
        }
    }

    public int count() {
        return count;
    }

    public double sum() {
        if (Double.isNaN(sum)) {
            sum = 0;
            for (int i = 0; i < count; i++) {
                sum += values[i];
            }
        }
        return sum;
    }

    public double mean(double ifNone) {
        return count == 0 ? ifNone : sum() / count;
    }

    public double get(int i) {
        return values[i];
    }

    public double max(double ifNone) {
        double max = count == 0 ? ifNone : values[0];
        for (int i = 1; i < count; i++) {
            max = Math.max(max, values[i]);
        }
        return max;
    }

    public double oldest() {
        return values[count < values.length ? 0 : next];
    }

    public void clear() {
        count = 0;
        next = 0;
        sum = Double.NaN;
    }
}
