package dewplank.fleet.soak;

/**
 * A step of the plan for the operator.
 *
 * @param atMs when it is due, from the start of the soak; later where the step before it has not ended
 * @param route the number of the route that is added or removed
 * @param firstControl the control plane that is asked first
 */
record ChangeStep(double atMs, Kind kind, int route, int firstControl) {
    /** What is changed. */
    enum Kind {
        /** A patch that adds the route, or removes it where it is there. */
        TOGGLE_ROUTE,
        /** A complete configuration that moves a route in use to another service. */
        MOVE_ROUTE,
        /** Two changes on one version, of which one at most may be acknowledged. */
        RACE
    }

    @Override
    public String toString() {
        return String.format("%.1fs %s %d", atMs / 1_000, kind, route);
    }
}
