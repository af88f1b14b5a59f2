package dewplank.emulator;

import dewplank.emulator.scenario.ConnectionModel;

/** Counts the open connections of a server's process, and computes the slowdown that they cause. */
final class ConnectionTable {
    private final ConnectionModel model;
    private int open;

    ConnectionTable(ConnectionModel model) {
        this.model = model;
    }

    int size() {
        return open;
    }

    boolean isFull() {
        return isLimited() && open >= model.maxConnections();
    }

    void add() {
        open++;
    }

    void remove() {
        if (open > 0) {
            open--;
        }
    }

    void clear() {
        open = 0;
    }

    /** Fraction of the server's speed that is lost, in proportion to the table's fill level; 0 if it has no limit. */
    double slowdownFraction() {
        return isLimited() ? model.fullTableSlowdown() * Math.min(1, (double) open / model.maxConnections()) : 0;
    }

    private boolean isLimited() {
        return model.maxConnections() > 0;
    }
}
