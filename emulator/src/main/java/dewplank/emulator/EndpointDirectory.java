package dewplank.emulator;

import dewplank.balancer.Endpoint;
import dewplank.balancer.Endpoint.Availability;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.scenario.DirectoryModel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The directory: what it believes of the servers, and what it tells. It notices late, tells each watch now and then,
 * and takes calls in turn at a bounded pace.
 */
public final class EndpointDirectory {
    /** One entry at one version. */
    private record Change(long version, int server) {}

    /** Whoever watches. All are called on the world's thread. */
    public interface Watcher {
        /** {@code full}: all entries; otherwise those that changed. */
        void updated(long version, boolean full, List<Endpoint> entries);

        /** The call failed, or the directory went down. */
        void ended();
    }

    /** A watch in being. */
    public final class Watch {
        private final int sidecar;
        private final Watcher watcher;
        private long version;
        private boolean open;
        private boolean isClosed;

        private Watch(int sidecar, long version, Watcher watcher) {
            this.sidecar = sidecar;
            this.version = version;
            this.watcher = watcher;
        }

        public void close() {
            isClosed = true;
            watches.remove(this);
        }
    }

    private static final int HISTORY = 4_096;

    private final World world;
    private final Map<Integer, Endpoint> entries = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Set<Watch> watches = new LinkedHashSet<>();
    private long version = 1;
    private long oldestVersion = 1;
    private boolean isDown;
    private boolean isStalled;
    private double nextCallAtMs;
    private long calls;
    private long linesSent;

    EndpointDirectory(World world) {
        this.world = world;
        for (Server s : world.servers()) {
            entries.put(s.number(), entry(s, Availability.UP));
        }
    }

    private Endpoint entry(Server s, Availability availability) {
        double started = s.startedAtMs();
        return new Endpoint(
                s.id(),
                s.zone(),
                s.machine().name(),
                s.cell(),
                availability,
                1,
                started == Double.NEGATIVE_INFINITY ? null : (Double) started);
    }

    public long version() {
        return version;
    }

    public boolean isDown() {
        return isDown;
    }

    public boolean isStalled() {
        return isStalled;
    }

    public long calls() {
        return calls;
    }

    public long linesSent() {
        return linesSent;
    }

    /** All that is not gone, by number. */
    public List<Endpoint> endpoints() {
        List<Endpoint> all = new ArrayList<>();
        for (Server s : world.servers()) {
            Endpoint e = entries.get(s.number());
            if (e.availability() != Availability.REMOVED) {
                all.add(e);
            }
        }
        return all;
    }

    /** Something became known of the server. */
    void set(Server s, Availability availability) {
        Endpoint e = entry(s, availability);
        if (e.equals(entries.get(s.number()))) {
            return;
        }
        entries.put(s.number(), e);
        history.add(new Change(++version, s.number()));
        if (history.size() > HISTORY) {
            oldestVersion = history.remove(0).version();
        }
    }

    /** A server died or vanished at this moment: noticed after a while, unless it is back by then. */
    void noticeLoss(Server s, double afterMs) {
        int life = s.incarnation();
        world.schedule(afterMs, () -> {
            if (s.incarnation() == life && s.state() != Server.State.UP) {
                set(s, Availability.REMOVED);
            }
        });
    }

    void noticeStart(Server s) {
        int life = s.incarnation();
        world.schedule(world.scenario().directory().startNoticeMs(), () -> {
            if (s.incarnation() == life && s.state() == Server.State.UP) {
                set(s, Availability.UP);
            }
        });
    }

    /** A call for a watch from that version on. It waits its turn; the first line, or the failure, comes later. */
    public Watch watch(int sidecar, long since, Watcher watcher) {
        DirectoryModel rules = world.scenario().directory();
        Watch watch = new Watch(sidecar, since, watcher);
        calls++;
        double now = world.now();
        double start = Math.max(now, nextCallAtMs);
        if (isDown || start - now > rules.callTimeoutMs()) {
            world.schedule(isDown ? 1 : rules.callTimeoutMs(), () -> end(watch));
            return watch;
        }
        nextCallAtMs = start + 1000 / rules.callsPerSecond();
        world.schedule(nextCallAtMs - now, () -> {
            if (isDown) {
                end(watch);
            } else if (!watch.isClosed) {
                watch.open = true;
                watches.add(watch);
                tell(watch, true);
                rhythm(watch);
            }
        });
        return watch;
    }

    private void end(Watch watch) {
        watches.remove(watch);
        if (!watch.isClosed) {
            watch.isClosed = true;
            watch.watcher.ended();
        }
    }

    /** Its next look is drawn anew each time, so that watches don't move in step. */
    private void rhythm(Watch watch) {
        double waitMs = world.aroundMs(world.scenario().directory().updateIntervalMs());
        world.schedule(waitMs, () -> {
            if (!watch.isClosed) {
                tell(watch, false);
                rhythm(watch);
            }
        });
    }

    private void tell(Watch watch, boolean first) {
        if (isStalled || !first && watch.version >= version) {
            return;
        }
        boolean full = watch.version < oldestVersion;
        List<Endpoint> news = full ? endpoints() : since(watch.version);
        watch.version = version;
        linesSent += news.size() + 1;
        for (Endpoint e : news) {
            record(watch.sidecar, e);
        }
        if (full) {
            for (Server s : world.servers()) {
                if (entries.get(s.number()).availability() == Availability.REMOVED) {
                    record(watch.sidecar, entries.get(s.number()));
                }
            }
        }
        watch.watcher.updated(version, full, news);
    }

    private List<Endpoint> since(long known) {
        Set<Integer> changed = new LinkedHashSet<>();
        for (int i = history.size() - 1; i >= 0 && history.get(i).version() > known; i--) {
            changed.add(history.get(i).server());
        }
        List<Endpoint> news = new ArrayList<>();
        changed.stream().sorted().forEach(n -> news.add(entries.get(n)));
        return news;
    }

    private void record(int sidecar, Endpoint e) {
        int server = world.server(e.server()).number();
        switch (e.availability()) {
            case DRAINING -> world.record(Type.NOTIFIED_DRAINING, null, sidecar, server, 0);
            case REMOVED -> world.record(Type.NOTIFIED_REMOVED, null, sidecar, server, 0);
            default -> {
                if (e.startedAtMs() != null) { // one that has run for long says nothing that binds
                    world.record(Type.NOTIFIED_UP, null, sidecar, server, e.startedAtMs());
                }
            }
        }
    }

    void setDown(boolean down) {
        isDown = down;
        if (down) {
            new ArrayList<>(watches).forEach(this::end);
        }
    }

    /** It takes calls and says nothing more. */
    void setStalled(boolean silent) {
        isStalled = silent;
    }
}
