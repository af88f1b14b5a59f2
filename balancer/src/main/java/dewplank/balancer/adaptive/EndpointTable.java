package dewplank.balancer.adaptive;

import dewplank.balancer.Endpoint;
import dewplank.balancer.Endpoint.Availability;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.UpdateKind;
import dewplank.balancer.Settings;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** The servers by the endpoint list, in the order in which they were first listed. */
final class EndpointTable {
    private static final long GOLDEN_RATIO = 0x9E3779B97F4A7C15L;

    private final Settings settings;
    private final FleetStats fleet;
    private final Map<String, ServerState> servers = new LinkedHashMap<>();

    EndpointTable(Settings settings, FleetStats fleet) {
        this.settings = settings;
        this.fleet = fleet;
    }

    Collection<ServerState> servers() {
        return servers.values();
    }

    /** The server, or null. */
    ServerState find(String id) {
        return servers.get(id);
    }

    /** Takes an update that is not broken. */
    void apply(EndpointUpdate update) {
        if (update.kind() != UpdateKind.INCREMENTAL) {
            servers.values().forEach(server -> server.isGone = true);
        }
        update.endpoints().forEach(this::apply);
        // What is known of servers that have gone must not add up.
        servers.values().removeIf(server -> server.isGone && !isListed(server) && server.inFlight.isEmpty());
    }

    private void apply(Endpoint endpoint) {
        ServerState server = servers.computeIfAbsent(endpoint.server(), this::newServer);
        boolean hasRestarted = server.endpoint != null
                && endpoint.startedAtMs() != null
                && !endpoint.startedAtMs().equals(server.endpoint.startedAtMs());
        if (hasRestarted) { // a new process: what was seen of the old one says nothing of it
            server.health.reset();
            server.suspicions = 0;
            server.backoffUntilMs = 0;
            server.wasDraining = false;
        }
        server.endpoint = endpoint;
        server.isLocal = endpoint.zone().equals(settings.zone());
        server.zone = fleet.zones.computeIfAbsent(endpoint.zone(), zone -> new ZoneStats());
        server.isGone = endpoint.availability() == Availability.REMOVED;
        if (!server.isGone) {
            server.wasDraining = endpoint.availability() == Availability.DRAINING;
        }
    }

    /**
     * Whether the server may be sent requests. Draining is binding from the update that says so; a server
     * that is only gone stays in use where the settings say so.
     */
    boolean isListed(ServerState server) {
        return !server.wasDraining && (!server.isGone || settings.safety().onlyDrainingIsBinding());
    }

    private ServerState newServer(String id) {
        return new ServerState(id, spreadOrder(id));
    }

    /** A number that orders the servers, otherwise for each instance: it spreads the working sets evenly. */
    private long spreadOrder(String id) {
        return Hashing.mix(id.hashCode() + GOLDEN_RATIO * (settings.replicaIndex() + 1));
    }
}
