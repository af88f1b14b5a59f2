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
 * Keeps the endpoint list up to date with a watch on discovery, and reports each change as an event.
 *
 * <p>The balancer host calls it on the event loop's thread only. The listener runs on the same thread, within
 * {@link #start}, {@link #subscribe} or a callback of the watch. While discovery is unreachable, the last list stays in
 * use.
 */
public final class DiscoveryClient {
    private static final System.Logger LOG = System.getLogger(DiscoveryClient.class.getName());
    /**
     * The minimum interval between the openings of two watches if lists are pushed. Discovery then counts its
     * lists as delivered whether or not a watch is open, so a lost watch is reopened without any other delay. The grace
     * period of a drain is a few hundred milliseconds.
     */
    private static final double MIN_REOPEN_INTERVAL_MS = 100;
    /**
     * If lists are pushed, requests are sent only after the first response of discovery, the end of the first watch, or
     * this time, whichever comes first.
     */
    private static final double FIRST_LIST_TIMEOUT_MS = 1_000;

    private final EventLoop loop;
    private InetSocketAddress discoveryAddress;
    private final boolean listsArePushed;
    private final Consumer<EndpointUpdate> listener;
    private final EndpointTable endpoints;
    private long version;
    private CatalogWatch watch;
    private boolean isWatchUp;
    private boolean isListUsable;
    private boolean isClosed;
    private double watchOpenedAtMs = Double.NEGATIVE_INFINITY;

    /**
     * @param keepsRemovedServers whether the balancer may still send to a server that is no longer listed
     * @param listsArePushed whether discovery pushes lists, so that the balancer never subscribes
     * @param listener called with each change of the list
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
        this.isListUsable = !listsArePushed;
        this.listener = listener;
    }

    /** Starts with the list in the configuration, which may be out of date. Called once. */
    public void start(CatalogUpdate cached) {
        apply(cached, UpdateKind.CACHED);
        if (listsArePushed) {
            openWatch();
            loop.after(FIRST_LIST_TIMEOUT_MS, () -> isListUsable = true);
        }
    }

    /** Opens a watch from the current version, unless {@link #changeAddress} has already opened one. */
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
     * Changes the address of discovery; has no effect after {@link #close}. The watch is reopened at the new address
     * immediately, because the old address accepts no new connections and closes the existing ones.
     */
    public void changeAddress(InetSocketAddress next) {
        if (!isClosed && !next.equals(discoveryAddress)) {
            discoveryAddress = next;
            isWatchUp = false;
            if (watch != null) {
                watch.close();
            }
            openWatch();
        }
    }

    /** Returns the address of the server, or null if the server is unknown. */
    public InetSocketAddress addressOf(String server) {
        return endpoints.addressOf(server);
    }

    /** Whether new requests may be sent to the server: it is listed and not draining. */
    public boolean acceptsRequests(String server) {
        return isListUsable && endpoints.acceptsRequests(server);
    }

    /** Whether the list may be used and names an available server. */
    public boolean hasAvailableServer() {
        return isListUsable && endpoints.hasAvailableServer();
    }

    /** Applies a list. A list with an older version is ignored, because it could list draining servers as active. */
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

    /**
     * Reports an unchanged list as an update at the first keepalive of a watch, which resets the balancer's backoff.
     */
    private void keepaliveReceived() {
        if (!isWatchUp) {
            watchEstablished(version);
            listener.accept(new EndpointUpdate(UpdateKind.INCREMENTAL, List.of()));
        }
    }

    private void watchEstablished(long atVersion) {
        isListUsable = true;
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
        isListUsable = true; // no newer list is available
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

    /** Closes the watch and opens no further one. */
    public void close() {
        isClosed = true;
        if (watch != null) {
            watch.close();
            watch = null;
        }
    }
}
