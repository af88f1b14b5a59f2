package dewplank.balancer.adaptive;

import dewplank.balancer.Endpoint;
import dewplank.balancer.Endpoint.Availability;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.UpdateKind;
import dewplank.balancer.Settings;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** The servers of the endpoint list, in the order in which they were first listed. */
final class EndpointTable {
    /** 2 to the power of 64, divided by the golden ratio. */
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

    /** Applies an update that is not {@link UpdateKind#BROKEN}. */
    void apply(EndpointUpdate update) {
        if (update.kind() != UpdateKind.INCREMENTAL) {
            servers.values().forEach(server -> server.isRemoved = true);
        }
        update.endpoints().forEach(this::apply);
        // The state of removed servers must not accumulate.
        servers.values().removeIf(entry -> entry.isRemoved && !isListed(entry) && entry.inFlight.isEmpty());
    }

    private void apply(Endpoint endpoint) {
        ServerState server = servers.computeIfAbsent(endpoint.server(), this::newServer);
        boolean hasRestarted = server.endpoint != null
                && endpoint.startedAtMs() != null
                && !endpoint.startedAtMs().equals(server.endpoint.startedAtMs());
        if (hasRestarted) { // observations of the previous process do not apply to the new one
            server.health.reset();
            server.suspicions = 0;
            server.backoffUntilMs = 0;
            server.wasDraining = false;
        }
        server.endpoint = endpoint;
        server.isLocal = endpoint.zone().equals(settings.zone());
        server.zone = fleet.zones.computeIfAbsent(endpoint.zone(), zone -> new ZoneStats());
        server.isRemoved = endpoint.availability() == Availability.REMOVED;
        if (!server.isRemoved) {
            server.wasDraining = endpoint.availability() == Availability.DRAINING;
        }
    }

    /**
     * Whether requests may be sent to the server. Draining takes effect with the update that states it; a
     * server that was removed without draining stays in use if the settings allow it.
     */
    boolean isListed(ServerState server) {
        return !server.wasDraining && (!server.isRemoved || settings.safety().allowsRemovedServers());
    }

    private ServerState newServer(String id) {
        return new ServerState(id, subsettingOrder(id));
    }

    /**
     * The server's position in this instance's order of servers. The order differs between instances, so
     * that their working sets are spread evenly.
     */
    private long subsettingOrder(String id) {
        return Hashing.mix(id.hashCode() + GOLDEN_RATIO * (settings.replicaIndex() + 1));
    }
}
