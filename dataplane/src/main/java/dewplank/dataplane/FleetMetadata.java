package dewplank.dataplane;

import dewplank.configuration.Configuration;
import dewplank.configuration.RouteTable;
import dewplank.membership.Member;
import dewplank.membership.SessionTable;
import dewplank.message.Endpoint;
import dewplank.message.EndpointList;
import dewplank.message.EndpointListVersion;
import dewplank.net.Scheduler;
import dewplank.routing.TrackedServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What this data plane knows of the fleet: configuration, servers, members. Each only ever gets newer. */
final class FleetMetadata {
    private static final Logger LOG = LoggerFactory.getLogger(FleetMetadata.class);

    private final Scheduler loop;
    private Configuration configuration;
    private RouteTable routes;
    private EndpointListVersion listVersion = EndpointListVersion.NONE;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final Map<String, List<TrackedServer>> byService = new HashMap<>();
    private List<Member> members = List.of();
    private long membersDigest;
    private int dataPlanes;

    FleetMetadata(Scheduler loop) {
        this.loop = loop;
    }

    /** Whether requests can be served: a configuration and a list of servers are there. */
    boolean complete() {
        return configuration != null && !listVersion.equals(EndpointListVersion.NONE);
    }

    Configuration configuration() {
        return configuration;
    }

    long configurationVersion() {
        return configuration == null ? 0 : configuration.version();
    }

    RouteTable routes() {
        return routes;
    }

    /** Takes a newer configuration; an older one changes nothing, whoever sends it. */
    void configured(Configuration newer) {
        if (newer.version() > configurationVersion()) {
            configuration = newer;
            routes = new RouteTable(newer);
            LOG.info(
                    "configuration {} in force, {} routes",
                    newer.version(),
                    newer.routes().size());
        }
    }

    EndpointListVersion listVersion() {
        return listVersion;
    }

    /** Takes a newer list of servers. */
    void listed(EndpointList list) {
        if (list.version.compareTo(listVersion) <= 0) {
            return;
        }
        listVersion = list.version;
        Set<String> named = new HashSet<>();
        for (Endpoint entry : list.endpoints) {
            named.add(entry.instanceId);
            learn(entry);
        }
        List<Server> left = servers.values().stream()
                .filter(s -> !named.contains(s.state.instanceId()))
                .toList();
        left.forEach(this::forget);
        rebuild();
    }

    private void learn(Endpoint entry) {
        Server server = servers.get(entry.instanceId);
        TrackedServer.Stage stage = stage(entry.stage);
        if (server == null) {
            TrackedServer state = new TrackedServer(entry.instanceId, entry.service, entry.zone, stage);
            server = new Server(loop, state, entry.address);
            servers.put(entry.instanceId, server);
        }
        server.state.updateListing(!entry.draining, stage);
        if (entry.draining) {
            server.pool.close();
        }
    }

    private static TrackedServer.Stage stage(String text) {
        if (text == null) {
            return TrackedServer.Stage.PLAIN;
        }
        return switch (text) {
            case "prefill" -> TrackedServer.Stage.PREFILL;
            case Endpoint.CHANGING -> TrackedServer.Stage.CHANGING;
            default -> TrackedServer.Stage.DECODE;
        };
    }

    private void forget(Server server) {
        servers.remove(server.state.instanceId());
        server.state.updateListing(false, server.state.stage());
        server.pool.close();
    }

    private void rebuild() {
        byService.clear();
        servers.values().forEach(s -> byService
                .computeIfAbsent(s.state.service(), k -> new ArrayList<>())
                .add(s.state));
    }

    /** All servers of the service that the list names. */
    List<TrackedServer> servers(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Those of one stage. */
    List<TrackedServer> servers(String service, TrackedServer.Stage stage) {
        return servers(service).stream().filter(s -> s.stage() == stage).toList();
    }

    Server server(TrackedServer state) {
        return servers.get(state.instanceId());
    }

    Iterable<Server> allServers() {
        return servers.values();
    }

    void members(List<Member> newer) {
        members = List.copyOf(newer);
        membersDigest = SessionTable.digest(members);
        dataPlanes =
                (int) members.stream().filter(m -> m.role.equals(Member.DATA)).count();
    }

    List<Member> members() {
        return members;
    }

    /** How many data planes the members' list names; 0 where nothing is known. */
    int dataPlanes() {
        return dataPlanes;
    }

    long membersDigest() {
        return membersDigest;
    }
}
