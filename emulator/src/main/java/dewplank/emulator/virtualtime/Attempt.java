package dewplank.emulator.virtualtime;

import dewplank.emulator.Server;

/** One attempt of a request at a server, with its connection state. Confined to the scheduler thread. */
final class Attempt {
    /** State of the attempt: {@link Connecting}, then {@link Connected}, then {@link Ended}. */
    sealed interface State permits Connecting, Connected, Ended {}

    /** No connection to the server is established yet. */
    record Connecting() implements State {}

    /** A connection to the given incarnation of the server's process carries the request. */
    record Connected(int serverIncarnation) implements State {}

    /** The outcome was reported to the balancer, or the sidecar was killed. */
    record Ended() implements State {}

    final PendingRequest request;
    /** Index of the attempt among the request's attempts, from 0. */
    final int index;

    final Server server;
    final double sentAtMs;
    private State state = new Connecting();

    Attempt(PendingRequest request, int index, Server server, double sentAtMs) {
        this.request = request;
        this.index = index;
        this.server = server;
        this.sentAtMs = sentAtMs;
    }

    boolean isConnecting() {
        return state instanceof Connecting;
    }

    boolean hasEnded() {
        return state instanceof Ended;
    }

    /** Whether the attempt uses a connection to the server's current process. */
    boolean isConnectedToCurrentProcess() {
        return state instanceof Connected c && c.serverIncarnation() == server.incarnation();
    }

    void connect(int serverIncarnation) {
        transitionTo(new Connected(serverIncarnation));
    }

    /** Ends the attempt, and returns its previous state. */
    State end() {
        State last = state;
        transitionTo(new Ended());
        return last;
    }

    private void transitionTo(State next) {
        boolean isAllowed = next instanceof Connected ? isConnecting() : !hasEnded();
        if (!isAllowed) {
            throw new IllegalStateException("attempt " + index + " of request " + request.client.id()
                    + " can't change from " + state + " to " + next);
        }
        state = next;
    }
}
