package dewplank.lab.policies;

import dewplank.balancer.Endpoint;

/** One server as a sidecar sees it: what the directory says of it, and its own attempts there. */
final class ServerState {
    Endpoint endpoint;
    int outstanding;
    int failuresInARow;
    double ejectedUntilMs;
    int ejections;

    ServerState(Endpoint endpoint) {
        this.endpoint = endpoint;
    }

    String id() {
        return endpoint.server();
    }
}
