package dewplank.balancer.adaptive;

/** One attempt of a request at a server. */
final class Attempt {

    /** Whether the attempt is in flight; after that, whether the server may have executed it. */
    enum State {
        IN_FLIGHT,
        NEVER_RAN,
        MAY_HAVE_RUN
    }

    final PendingRequest request;
    final int number;
    final ServerState server;
    final String zone;
    final long cell;
    final double sentAtMs;
    final int loadAtSend;
    final boolean opensConnection;
    State state = State.IN_FLIGHT;
    boolean isOverdue;
    double overdueAtMs;

    Attempt(PendingRequest request, ServerState server, double sentAtMs, int loadAtSend, boolean opensConnection) {
        this.request = request;
        this.number = request.attempts.size();
        this.server = server;
        this.zone = server.endpoint.zone();
        this.cell = server.endpoint.cell();
        this.sentAtMs = sentAtMs;
        this.loadAtSend = loadAtSend;
        this.opensConnection = opensConnection;
    }

    boolean isInFlight() {
        return state == State.IN_FLIGHT;
    }
}
