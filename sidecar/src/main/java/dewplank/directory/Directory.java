package dewplank.directory;

import dewplank.config.Fields;
import dewplank.config.Json;
import dewplank.net.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import saltfield.Balancer.Availability;
import saltfield.Balancer.ListForm;
import saltfield.Balancer.ListNews;

/**
 * This sidecar's copy of the directory: the version it holds, where each server listens, and the watch that
 * keeps both up to date. What the module is to know goes out as list news.
 */
public final class Directory {
    private static final System.Logger LOG = System.getLogger(Directory.class.getName());

    private final EventLoop loop;
    private InetSocketAddress at;
    private final boolean usesGone;
    private final Consumer<ListNews> news;
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private long version;
    private final Set<String> up = new HashSet<>();
    private final Set<String> draining = new HashSet<>();
    private Watch watch;
    private boolean watching;

    /** {@code usesGone}: whether the module may still send to a server that is no longer listed. */
    public Directory(EventLoop loop, InetSocketAddress at, boolean usesGone, Consumer<ListNews> news) {
        this.loop = loop;
        this.at = at;
        this.usesGone = usesGone;
        this.news = news;
    }

    /** Begins with the list that the configuration brought, which may be out of date. */
    public void start(Listing known) {
        take(known, ListForm.STALE);
    }

    /** Watches from the version that is held; an earlier watch ends. */
    public void subscribe() {
        if (watch != null) {
            watch.close();
        }
        watch = new Watch(loop, at, version, Watch.SILENCE_MS, this::line, this::broken);
        watch.start();
    }

    /**
     * The directory listens elsewhere from now on. Its watch is moved at once: the old address takes no new
     * connection, and closes those that it has.
     */
    public void moveTo(InetSocketAddress next) {
        if (!next.equals(at)) {
            at = next;
            watching = false;
            subscribe();
        }
    }

    /** Where the server listens, or null where no list has named it. */
    public InetSocketAddress address(String server) {
        return addresses.get(server);
    }

    /** Whether what was listed of the server lets it have new requests; a draining one wants none. */
    public boolean takesRequests(String server) {
        return addresses.containsKey(server) && !draining.contains(server);
    }

    /** Whether the list names a server to send to. */
    public boolean anyUp() {
        return !up.isEmpty();
    }

    private void line(String text) {
        Listing listing = Listing.of(new Fields(Json.object(text), "directory "));
        if (!watching) {
            watching = true;
            LOG.log(System.Logger.Level.INFO, "directory watch up at version {0}", Long.toString(listing.version()));
        }
        take(listing, listing.full() ? ListForm.WHOLE : ListForm.CHANGES);
    }

    private void take(Listing listing, ListForm form) {
        version = listing.version();
        if (form != ListForm.CHANGES) {   // a server that a full list lacks has left
            up.clear();
            if (!usesGone) {
                addresses.clear();
                draining.clear();
            }
        }
        for (Listing.Member m : listing.members()) {
            String server = m.entry().server();
            if (m.entry().availability() == Availability.REMOVED && !usesGone) {
                addresses.remove(server);   // servers come and go with ever new ids: they must not add up
                draining.remove(server);
            } else {
                addresses.put(server, m.address());
            }
            if (m.entry().availability() == Availability.UP) {
                up.add(server);
                draining.remove(server);
            } else {
                up.remove(server);
            }
            if (m.entry().availability() == Availability.DRAINING) {
                draining.add(server);
            }
        }
        news.accept(new ListNews(form, listing.entries()));
    }

    private void broken(String why) {
        watch = null;
        watching = false;
        LOG.log(System.Logger.Level.WARNING, "directory watch lost at version {0}: {1}", Long.toString(version), why);
        news.accept(new ListNews(ListForm.BROKEN, List.of()));
    }

    public void close() {
        if (watch != null) {
            watch.close();
            watch = null;
        }
    }
}
