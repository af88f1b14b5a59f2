package dewplank.lab.policies;

import dewplank.balancer.Endpoint;
import dewplank.balancer.Endpoint.Availability;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.UpdateKind;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The servers of the endpoint list, in the order of the list. */
final class ServerTable {
    private final Map<String, ServerState> servers = new LinkedHashMap<>();
    private final List<ServerState> available = new ArrayList<>();
    private boolean anyHasStartTime;

    /** Applies an update of any kind except {@link UpdateKind#BROKEN}. */
    void update(EndpointUpdate update) {
        if (update.kind() != UpdateKind.INCREMENTAL) {
            Set<String> listed = new HashSet<>();
            update.endpoints().forEach(endpoint -> listed.add(endpoint.server()));
            servers.keySet().removeIf(id -> !listed.contains(id));
        }
        for (Endpoint endpoint : update.endpoints()) {
            if (endpoint.availability() == Availability.REMOVED) {
                servers.remove(endpoint.server());
            } else {
                servers.computeIfAbsent(endpoint.server(), id -> new ServerState(endpoint)).endpoint = endpoint;
            }
        }
        available.clear();
        anyHasStartTime = false;
        for (ServerState server : servers.values()) {
            if (server.endpoint.availability() == Availability.UP) {
                available.add(server);
                anyHasStartTime |= server.endpoint.startedAtMs() != null;
            }
        }
    }

    Optional<ServerState> find(String id) {
        return Optional.ofNullable(servers.get(id));
    }

    /** The servers that are up. */
    List<ServerState> available() {
        return Collections.unmodifiableList(available);
    }

    /** Whether any available server has a known start time, so that it may still be warming up. */
    boolean mayAnyBeCold() {
        return anyHasStartTime;
    }
}
