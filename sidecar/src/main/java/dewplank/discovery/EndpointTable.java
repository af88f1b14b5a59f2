package dewplank.discovery;

import dewplank.balancer.Endpoint.Availability;
import dewplank.balancer.Event.UpdateKind;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The servers of the last received list: their addresses, and which of them are available or draining.
 *
 * <p>{@link DiscoveryClient} owns it and calls it on the event loop's thread.
 */
final class EndpointTable {
    private final boolean keepsRemovedServers;
    private final Map<String, InetSocketAddress> addressByServer = new HashMap<>();
    private final Set<String> availableServers = new HashSet<>();
    private final Set<String> drainingServers = new HashSet<>();

    /** @param keepsRemovedServers whether a server that is no longer listed may still receive requests */
    EndpointTable(boolean keepsRemovedServers) {
        this.keepsRemovedServers = keepsRemovedServers;
    }

    /** Applies a list or changes to it. Servers that are missing from a full or cached list have been removed. */
    void apply(CatalogUpdate update, UpdateKind kind) {
        if (kind != UpdateKind.INCREMENTAL) {
            availableServers.clear();
            if (!keepsRemovedServers) {
                addressByServer.clear();
                drainingServers.clear();
            }
        }
        for (CatalogUpdate.Member member : update.members()) {
            apply(member);
        }
    }

    private void apply(CatalogUpdate.Member member) {
        String server = member.endpoint().server();
        Availability availability = member.endpoint().availability();
        if (availability == Availability.REMOVED && !keepsRemovedServers) {
            addressByServer.remove(server); // servers are replaced under new ids: stale entries would accumulate
            drainingServers.remove(server);
        } else {
            addressByServer.put(server, member.address());
        }
        if (availability == Availability.UP) {
            availableServers.add(server);
            drainingServers.remove(server);
        } else {
            availableServers.remove(server);
        }
        if (availability == Availability.DRAINING) {
            drainingServers.add(server);
        }
    }

    /** Returns the address of the server, or null if the server is unknown. */
    InetSocketAddress addressOf(String server) {
        return addressByServer.get(server);
    }

    /** Whether the server is listed and not draining. */
    boolean acceptsRequests(String server) {
        return addressByServer.containsKey(server) && !drainingServers.contains(server);
    }

    boolean hasAvailableServer() {
        return !availableServers.isEmpty();
    }
}
