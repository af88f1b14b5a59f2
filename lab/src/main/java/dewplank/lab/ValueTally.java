package dewplank.lab;

/** The value that clients requested and the part of it served within the latency target. Confined to one thread. */
public final class ValueTally {
    private double requested;
    private double withinTarget;

    void add(double value, boolean isWithinTarget) {
        requested += value;
        withinTarget += isWithinTarget ? value : 0;
    }

    void addAll(ValueTally other) {
        requested += other.requested;
        withinTarget += other.withinTarget;
    }

    public double requested() {
        return requested;
    }

    public double withinTarget() {
        return withinTarget;
    }

    /** Whether nothing was requested. */
    public boolean isEmpty() {
        return requested <= 0;
    }

    /** The fraction of the value served within the target, from 0 to 1; 1 if nothing was requested. */
    public double ratio() {
        return isEmpty() ? 1 : withinTarget / requested;
    }
}
