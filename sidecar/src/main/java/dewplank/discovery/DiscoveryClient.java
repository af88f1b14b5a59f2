package dewplank.discovery;

import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.UpdateKind;
import dewplank.net.EventLoop;
import dewplank.settings.Fields;
import dewplank.settings.Json;
import java.net.InetSocketAddress;
import java.util.List;
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
    private final boolean listsArePushed;
    private final Consumer<EndpointUpdate> listener;
    private final EndpointTable endpoints;
    private long version;
    private CatalogWatch watch;
    private boolean isWatchUp;
    private boolean isUsable;
    private boolean isClosed;
    private double watchOpenedAtMs = Double.NEGATIVE_INFINITY;

    /**
     * @param keepsRemovedServers whether the balancer may still send to a server that is no longer listed
     * @param listsArePushed whether lists come unprompted, so that the balancer never subscribes
     * @param listener gets each change of the list
     */
    public DiscoveryClient(
            EventLoop loop,
            InetSocketAddress discoveryAddress,
            boolean keepsRemovedServers,
            boolean listsArePushed,
            Consumer<EndpointUpdate> listener) {
        this.loop = loop;
        this.discoveryAddress = discoveryAddress;
        this.endpoints = new EndpointTable(keepsRemovedServers);
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
        } else if (isWatchUp) {
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
     * Discovery listens elsewhere from now on; of no effect once closed. Its watch is moved at once: the old address
     * takes no new connection, and closes those that it has.
     */
    public void moveTo(InetSocketAddress next) {
        if (!isClosed && !next.equals(discoveryAddress)) {
            discoveryAddress = next;
            isWatchUp = false;
            if (watch != null) {
                watch.close();
            }
            openWatch();
        }
    }

    /** The address where the server listens, or null where no list names it. */
    public InetSocketAddress addressOf(String server) {
        return endpoints.addressOf(server);
    }

    /** Whether new requests may be sent to the server: it is listed and not draining. */
    public boolean acceptsRequests(String server) {
        return isUsable && endpoints.acceptsRequests(server);
    }

    /** Whether the list may be used and names an available server. */
    public boolean hasAvailableServer() {
        return isUsable && endpoints.hasAvailableServer();
    }

    /** An older list is ignored, also where it comes last: it would bring back draining servers. */
    private void listReceived(String text) {
        CatalogUpdate update = CatalogUpdate.of(new Fields(Json.object(text), "discovery "));
        watchEstablished(update.version());
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
        if (!isWatchUp) {
            watchEstablished(version);
            listener.accept(new EndpointUpdate(UpdateKind.INCREMENTAL, List.of()));
        }
    }

    private void watchEstablished(long atVersion) {
        isUsable = true;
        if (!isWatchUp) {
            isWatchUp = true;
            LOG.log(System.Logger.Level.INFO, "discovery watch established version={0}", Long.toString(atVersion));
        }
    }

    private void apply(CatalogUpdate update, UpdateKind kind) {
        version = update.version();
        endpoints.apply(update, kind);
        listener.accept(new EndpointUpdate(kind, update.endpoints()));
    }

    private void watchEnded(String reason) {
        watch = null;
        isWatchUp = false;
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
            if (watch == null && !isClosed) {
                openWatch();
            }
        });
    }

    /** Ends the watch for good. */
    public void close() {
        isClosed = true;
        if (watch != null) {
            watch.close();
            watch = null;
        }
    }
}
