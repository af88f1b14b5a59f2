package dewplank.fleet.soak;

/**
 * A step of the soak plan for the operator.
 *
 * @param atMs the scheduled time since the start of the soak; the step is delayed until the previous one completes
 * @param route the number of the route that is added or removed
 * @param firstControl the control plane that receives the change first
 */
record ChangeStep(double atMs, Kind kind, int route, int firstControl) {
    /** The kind of change. */
    enum Kind {
        /** A patch that removes the route if it exists and adds it otherwise. */
        TOGGLE_ROUTE,
        /** A complete configuration that moves a route in use to another service. */
        MOVE_ROUTE,
        /** Two concurrent changes of the same version, of which at most one may be acknowledged. */
        RACE
    }

    @Override
    public String toString() {
        return String.format("%.1fs %s %d", atMs / 1_000, kind, route);
    }
}
