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
 * The fleet's state as this data plane last took it over: configuration, endpoint list, membership. Configuration and
 * list only ever get newer, whichever session they come by. Written by {@link SessionClient}, read for each request; on
 * the event loop's thread only.
 */
final class FleetMetadata {
    private static final Logger LOG = LoggerFactory.getLogger(FleetMetadata.class);

    private final Scheduler loop;
    /** Null before the first. */
    private Configuration configuration;

    private RouteTable routes;
    private double confirmedAtMs = Double.NEGATIVE_INFINITY;
    private EndpointListVersion listVersion = EndpointListVersion.NONE;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final Map<String, List<TrackedServer>> byService = new HashMap<>();
    private List<Member> members = List.of();
    private long membersDigest;
    private int dataPlanes;

    FleetMetadata(Scheduler loop) {
        this.loop = loop;
    }

    /** Whether requests can be served: a configuration and an endpoint list are there, the list empty or not. */
    boolean isComplete() {
        return configuration != null && !listVersion.equals(EndpointListVersion.NONE);
    }

    /** The configuration in force; null before the first. */
    Configuration configuration() {
        return configuration;
    }

    /** The version in force; 0 before the first. */
    long configurationVersion() {
        return configuration == null ? 0 : configuration.version();
    }

    /** The routes of the configuration in force; null before the first. */
    RouteTable routes() {
        return routes;
    }

    /** Puts a newer configuration in force; an older or equal one changes nothing. */
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
     * A quorum has confirmed that no configuration newer than that version had been chosen by that time.
     *
     * @return whether that version, or a newer one, is in force here; else nothing is recorded
     */
    boolean confirmConfiguration(long version, double atMs) {
        if (version > configurationVersion()) {
            return false;
        }
        confirmedAtMs = Math.max(confirmedAtMs, atMs);
        return true;
    }

    /**
     * Every configuration that was acknowledged before this time, by the loop's clock in milliseconds, is in force here
     * or replaced by a newer one; negative infinity where that is known of none.
     */
    double confirmedAtMs() {
        return confirmedAtMs;
    }

    /** The version of the endpoint list in force. */
    EndpointListVersion listVersion() {
        return listVersion;
    }

    /**
     * Puts a newer endpoint list in force; an older or equal one changes nothing. A server that stays keeps its state;
     * one that is missing or draining gets no new requests, and its idle connections end.
     */
    void updateServers(EndpointList list) {
        if (list.version.compareTo(listVersion) <= 0) {
            return;
        }
        listVersion = list.version;
        Set<String> named = new HashSet<>();
        for (Endpoint entry : list.endpoints) {
            named.add(entry.instanceId);
            addOrUpdate(entry);
        }
        List<Server> missing = servers.values().stream()
                .filter(s -> !named.contains(s.state.instanceId()))
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

    /** Null is the stage of a service without an engine. */
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
        byService.clear();
        servers.values().forEach(s -> byService
                .computeIfAbsent(s.state.service(), k -> new ArrayList<>())
                .add(s.state));
    }

    /** All servers of the service that the list names; empty where it names none. */
    List<TrackedServer> servers(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Those of one stage. */
    List<TrackedServer> servers(String service, TrackedServer.Stage stage) {
        return servers(service).stream().filter(s -> s.stage() == stage).toList();
    }

    /** The server with its connections; null once the list names it no more. */
    Server server(TrackedServer state) {
        return servers.get(state.instanceId());
    }

    Iterable<Server> allServers() {
        return servers.values();
    }

    /** Takes over the membership; the caller decides whose report counts. */
    void updateMembers(List<Member> newer) {
        members = List.copyOf(newer);
        membersDigest = SessionTable.digest(members);
        dataPlanes =
                (int) members.stream().filter(m -> m.role.equals(Member.DATA)).count();
    }

    List<Member> members() {
        return members;
    }

    /** How many data planes the membership names, this one among them; 0 before the first report. */
    int dataPlanes() {
        return dataPlanes;
    }

    /** Tells control planes which membership is current here; 0 before the first. */
    long membersDigest() {
        return membersDigest;
    }
}
