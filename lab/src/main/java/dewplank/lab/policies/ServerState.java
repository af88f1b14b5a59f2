package dewplank.lab.policies;

import dewplank.balancer.Endpoint;

/** A sidecar's view of one server: its entry in the endpoint list, and the state of this sidecar's attempts. */
final class ServerState {
    Endpoint endpoint;
    int outstanding;
    int consecutiveFailures;
    double ejectedUntilMs;
    int ejections;

    ServerState(Endpoint endpoint) {
        this.endpoint = endpoint;
    }

    String id() {
        return endpoint.server();
    }
}
