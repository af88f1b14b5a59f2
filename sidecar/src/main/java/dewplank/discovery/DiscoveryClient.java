package dewplank.discovery;

import dewplank.balancer.Endpoint.Availability;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.UpdateKind;
import dewplank.net.EventLoop;
import dewplank.settings.Fields;
import dewplank.settings.Json;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Keeps the endpoint list up to date by a watch on discovery, and reports each change as an event.
 *
 * <p>The balancer's host calls it, on the event loop's thread only. The listener is called on that thread too, from
 * within {@link #start}, {@link #subscribe} or a callback of the watch. Losing discovery is no error: the last list
 * stays in use.
 */
public final class DiscoveryClient {
    private static final System.Logger LOG = System.getLogger(DiscoveryClient.class.getName());
    /**
     * Where lists are pushed, what the agent has counts as delivered whether or not a watch is open: it is opened again
     * at once, and no more often than this. A drain's grace period is some hundred milliseconds.
     */
    private static final double MIN_REOPEN_INTERVAL_MS = 100;
    /** Where lists are pushed, nothing is sent before the first one, or before this time has passed. */
    private static final double FIRST_LIST_TIMEOUT_MS = 1_000;

    private final EventLoop loop;
    private InetSocketAddress discoveryAddress;
    private final boolean keepsRemovedServers;
    private final boolean listsArePushed;
    private final Consumer<EndpointUpdate> listener;
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private long version;
    private final Set<String> availableServers = new HashSet<>();
    private final Set<String> drainingServers = new HashSet<>();
    private CatalogWatch watch;
    private boolean watching;
    private boolean isUsable;
    private boolean closed;
    private double watchOpenedAtMs = Double.NEGATIVE_INFINITY;

    /**
     * @param keepsRemovedServers whether the balancer may still send to a server that is no longer listed
     * @param listsArePushed whether lists come unprompted, so that the balancer never subscribes
     * @param listener gets each change of the list
     */
    public DiscoveryClient(
            EventLoop loop,
            InetSocketAddress at,
            boolean keepsRemovedServers,
            boolean listsArePushed,
            Consumer<EndpointUpdate> listener) {
        this.loop = loop;
        this.discoveryAddress = at;
        this.keepsRemovedServers = keepsRemovedServers;
        this.listsArePushed = listsArePushed;
        this.isUsable = !listsArePushed;
        this.listener = listener;
    }

    /** Starts from the list in the configuration, which may be out of date. Called once. */
    public void start(CatalogUpdate cached) {
        apply(cached, UpdateKind.CACHED);
        if (listsArePushed) {
            openWatch();
            loop.after(FIRST_LIST_TIMEOUT_MS, () -> isUsable = true);
        }
    }

    /** Opens a watch from the current version, unless {@link #moveTo} has opened one meanwhile. */
    public void subscribe() {
        if (watch == null) {
            openWatch();
        } else if (watching) {
            listener.accept(new EndpointUpdate(UpdateKind.INCREMENTAL, List.of()));
        }
    }

    private void openWatch() {
        watchOpenedAtMs = loop.now();
        watch = new CatalogWatch(
                loop,
                discoveryAddress,
                version,
                CatalogWatch.IDLE_TIMEOUT_MS,
                this::listReceived,
                this::keepaliveReceived,
                this::watchEnded);
        watch.start();
    }

    /**
     * Discovery listens elsewhere from now on. Its watch is moved at once: the old address takes no new
     * connection, and closes those that it has.
     */
    public void moveTo(InetSocketAddress next) {
        if (!next.equals(discoveryAddress)) {
            discoveryAddress = next;
            watching = false;
            if (watch != null) {
                watch.close();
            }
            openWatch();
        }
    }

    /** @return where the server listens, or null where no list names it */
    public InetSocketAddress addressOf(String server) {
        return addresses.get(server);
    }

    /** Whether new requests may be sent to the server: it is listed and not draining. */
    public boolean acceptsRequests(String server) {
        return isUsable && addresses.containsKey(server) && !drainingServers.contains(server);
    }

    /** Whether the list may be used and names an available server. */
    public boolean hasAvailableServer() {
        return isUsable && !availableServers.isEmpty();
    }

    /** An older list is ignored, also where it comes last: it would bring back draining servers. */
    private void listReceived(String text) {
        CatalogUpdate update = CatalogUpdate.of(new Fields(Json.object(text), "discovery "));
        watching(update.version());
        if (update.version() < version) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "discovery list ignored version={0} currentVersion={1}",
                    Long.toString(update.version()),
                    Long.toString(version));
            listener.accept(new EndpointUpdate(UpdateKind.INCREMENTAL, List.of()));
            return;
        }
        apply(update, update.isFull() ? UpdateKind.FULL : UpdateKind.INCREMENTAL);
    }

    /** Nothing has changed: that is a response as well, and resets the balancer's backoff. */
    private void keepaliveReceived() {
        if (!watching) {
            watching(version);
            listener.accept(new EndpointUpdate(UpdateKind.INCREMENTAL, List.of()));
        }
    }

    private void watching(long at) {
        isUsable = true;
        if (!watching) {
            watching = true;
            LOG.log(System.Logger.Level.INFO, "discovery watch established version={0}", Long.toString(at));
        }
    }

    private void apply(CatalogUpdate update, UpdateKind kind) {
        version = update.version();
        if (kind != UpdateKind.INCREMENTAL) { // a server that a full list lacks was removed
            availableServers.clear();
            if (!keepsRemovedServers) {
                addresses.clear();
                drainingServers.clear();
            }
        }
        for (CatalogUpdate.Member member : update.members()) {
            String server = member.endpoint().server();
            if (member.endpoint().availability() == Availability.REMOVED && !keepsRemovedServers) {
                addresses.remove(server); // servers come and go with ever new ids: they must not add up
                drainingServers.remove(server);
            } else {
                addresses.put(server, member.address());
            }
            if (member.endpoint().availability() == Availability.UP) {
                availableServers.add(server);
                drainingServers.remove(server);
            } else {
                availableServers.remove(server);
            }
            if (member.endpoint().availability() == Availability.DRAINING) {
                drainingServers.add(server);
            }
        }
        listener.accept(new EndpointUpdate(kind, update.endpoints()));
    }

    private void watchEnded(String reason) {
        watch = null;
        watching = false;
        LOG.log(
                System.Logger.Level.WARNING,
                "discovery watch lost version={0} cause={1}",
                Long.toString(version),
                reason);
        isUsable = true; // there is no newer one to be had
        if (!listsArePushed) {
            listener.accept(new EndpointUpdate(UpdateKind.BROKEN, List.of()));
            return;
        }
        loop.after(watchOpenedAtMs + MIN_REOPEN_INTERVAL_MS - loop.now(), () -> {
            if (watch == null && !closed) {
                openWatch();
            }
        });
    }

    /** Ends the watch for good. */
    public void close() {
        closed = true;
        if (watch != null) {
            watch.close();
            watch = null;
        }
    }
}
