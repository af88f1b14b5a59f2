package dewplank.emulator;

import dewplank.emulator.scenario.ConnectionModel;

/** The connections that a server's process has open, and what a full table costs it. */
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
        return isBounded() && open >= model.maxConnections();
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

    /** The part of the speed that the table takes: in proportion to how full it is; 0 where it has no bound. */
    double slowdownFraction() {
        return isBounded() ? model.fullTableSlowdown() * Math.min(1, (double) open / model.maxConnections()) : 0;
    }

    private boolean isBounded() {
        return model.maxConnections() > 0;
    }
}
