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

/**
 * The state of the fleet as this data plane last received it: configuration, endpoint list and membership. The
 * configuration and the list are replaced by newer versions only, whichever session delivers them. Updated by the
 * sessions of {@link SessionClient} and read for each request. Not thread-safe; must be used on the event loop's thread
 * only.
 */
final class FleetMetadata {
    private static final Logger LOG = LoggerFactory.getLogger(FleetMetadata.class);

    private final Scheduler loop;
    /** Null before the first configuration. */
    private Configuration configuration;

    private RouteTable routes;
    private double confirmedAtMs = Double.NEGATIVE_INFINITY;
    private EndpointListVersion listVersion = EndpointListVersion.NONE;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final Map<String, List<TrackedServer>> serversByService = new HashMap<>();
    private List<Member> members = List.of();
    private long membersDigest;
    private int dataPlaneCount;

    FleetMetadata(Scheduler loop) {
        this.loop = loop;
    }

    /** Whether requests can be served: a configuration and an endpoint list, possibly empty, have been received. */
    boolean isComplete() {
        return configuration != null && !listVersion.equals(EndpointListVersion.NONE);
    }

    /** What is needed before requests can be served, for the log. */
    List<String> missingParts() {
        List<String> missing = new ArrayList<>();
        if (configuration == null) {
            missing.add("configuration");
        }
        if (listVersion.equals(EndpointListVersion.NONE)) {
            missing.add("endpointList");
        }
        return missing;
    }

    /** The configuration in force; null before the first one. */
    Configuration configuration() {
        return configuration;
    }

    /** The version of the configuration in force; 0 before the first one. */
    long configurationVersion() {
        return configuration == null ? 0 : configuration.version();
    }

    /** The routes of the configuration in force; null before the first one. */
    RouteTable routes() {
        return routes;
    }

    /** Applies a newer configuration; an older or equal version has no effect. */
    void updateConfiguration(Configuration newer) {
        if (newer.version() > configurationVersion()) {
            configuration = newer;
            routes = new RouteTable(newer);
            LOG.info(
                    "configuration applied version={} routes={} tenants={}",
                    newer.version(),
                    newer.routes().size(),
                    newer.tenants().size());
        }
    }

    /**
     * Records a quorum's confirmation that no configuration newer than the version had been chosen by the given time.
     *
     * @return whether that version or a newer one is in force here; otherwise nothing is recorded
     */
    boolean confirmConfiguration(long version, double atMs) {
        if (version > configurationVersion()) {
            return false;
        }
        confirmedAtMs = Math.max(confirmedAtMs, atMs);
        return true;
    }

    /**
     * Every configuration that was acknowledged before this time, in milliseconds of the loop's clock, is in force here
     * or replaced by a newer one; negative infinity before the first confirmation.
     */
    double confirmedAtMs() {
        return confirmedAtMs;
    }

    /** The version of the endpoint list in force. */
    EndpointListVersion listVersion() {
        return listVersion;
    }

    /**
     * Applies a newer endpoint list; an older or equal version has no effect. A server that remains in the list keeps
     * its state. A server that is missing or draining receives no new requests, and its idle connections are closed.
     */
    void updateServers(EndpointList list) {
        if (list.version.compareTo(listVersion) <= 0) {
            return;
        }
        listVersion = list.version;
        Set<String> listedIds = new HashSet<>();
        for (Endpoint entry : list.endpoints) {
            listedIds.add(entry.instanceId);
            addOrUpdate(entry);
        }
        List<Server> missing = servers.values().stream()
                .filter(s -> !listedIds.contains(s.state.instanceId()))
                .toList();
        missing.forEach(this::remove);
        indexByService();
    }

    private void addOrUpdate(Endpoint entry) {
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

    /** Parses the stage of an endpoint, which is null for a service without an engine. */
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

    private void remove(Server server) {
        servers.remove(server.state.instanceId());
        server.state.updateListing(false, server.state.stage());
        server.pool.close();
    }

    private void indexByService() {
        serversByService.clear();
        servers.values().forEach(s -> serversByService
                .computeIfAbsent(s.state.service(), k -> new ArrayList<>())
                .add(s.state));
    }

    /** All servers of the service in the endpoint list; empty if there are none. */
    List<TrackedServer> servers(String service) {
        return serversByService.getOrDefault(service, List.of());
    }

    /** The service's servers in one stage. */
    List<TrackedServer> servers(String service, TrackedServer.Stage stage) {
        return servers(service).stream().filter(s -> s.stage() == stage).toList();
    }

    /** The server with its connections; null if it is no longer in the endpoint list. */
    Server server(TrackedServer state) {
        return servers.get(state.instanceId());
    }

    Iterable<Server> allServers() {
        return servers.values();
    }

    /** Replaces the membership; the caller decides whose report is used. */
    void updateMembers(List<Member> newer) {
        members = List.copyOf(newer);
        membersDigest = SessionTable.digest(members);
        dataPlaneCount =
                (int) members.stream().filter(m -> m.role.equals(Member.DATA)).count();
    }

    List<Member> members() {
        return members;
    }

    /** The number of data planes in the membership, including this one; 0 before the first report. */
    int dataPlaneCount() {
        return dataPlaneCount;
    }

    /** Identifies the current membership to control planes; 0 before the first report. */
    long membersDigest() {
        return membersDigest;
    }
}
