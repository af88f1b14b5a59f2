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
 * The directory of endpoints: the list as the directory sees it, and the watches that it updates. It learns of changes
 * late, updates each watch at intervals, and accepts calls one after the other at a bounded rate.
 *
 * <p>All calls are made on the world's thread.
 */
public final class EndpointDirectory {
    /** An endpoint that changed at a version. */
    private record Change(long version, int server) {}

    /** Gets the updates of a watch, on the world's thread. */
    public interface Watcher {
        /** {@code full}: all endpoints are named; otherwise those that changed. */
        void updated(long version, boolean full, List<Endpoint> endpoints);

        /** The call failed, or the directory went down. */
        void ended();
    }

    /** A sidecar's watch. */
    public final class Watch {
        private enum State {
            /** The call waits for its turn. */
            PENDING,
            OPEN,
            CLOSED
        }

        private final int sidecar;
        private final Watcher watcher;
        private long version;
        private State state = State.PENDING;

        private Watch(int sidecar, long version, Watcher watcher) {
            this.sidecar = sidecar;
            this.version = version;
            this.watcher = watcher;
        }

        private boolean isClosed() {
            return state == State.CLOSED;
        }

        /** Ends the watch; its watcher is not called any more. */
        public void close() {
            state = State.CLOSED;
            watches.remove(this);
        }
    }

    /** Changes that an incremental update can go back. */
    private static final int MAX_HISTORY = 4_096;
    /** After which a call to a directory that is down fails. */
    private static final double REFUSAL_MS = 1;

    private final World world;
    private final DirectoryModel model;
    private final Map<Integer, Endpoint> endpointsByServer = new HashMap<>();
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
        this.model = world.scenario().directory();
        for (Server server : world.servers()) {
            endpointsByServer.put(server.number(), endpoint(server, Availability.UP));
        }
    }

    private static Endpoint endpoint(Server server, Availability availability) {
        double startedAtMs = server.startedAtMs();
        return new Endpoint(
                server.id(),
                server.zone(),
                server.machine().name(),
                server.cell(),
                availability,
                1,
                startedAtMs == Double.NEGATIVE_INFINITY ? null : (Double) startedAtMs);
    }

    /** Version of the list; one higher after each change. */
    public long version() {
        return version;
    }

    /** Whether it refuses calls. */
    public boolean isDown() {
        return isDown;
    }

    /** Whether it accepts calls and sends no updates. */
    public boolean isStalled() {
        return isStalled;
    }

    /** Calls for watches so far. */
    public long calls() {
        return calls;
    }

    /** Lines of all updates so far: one an endpoint, and one an update. */
    public long linesSent() {
        return linesSent;
    }

    /** The endpoints that are not removed, by the servers' numbers. */
    public List<Endpoint> endpoints() {
        List<Endpoint> present = new ArrayList<>();
        for (Server server : world.servers()) {
            Endpoint endpoint = endpointsByServer.get(server.number());
            if (endpoint.availability() != Availability.REMOVED) {
                present.add(endpoint);
            }
        }
        return present;
    }

    // ---- what it learns -------------------------------------------------------------------------------

    /** Changes the list, if the server's endpoint differs from its entry. */
    void set(Server server, Availability availability) {
        Endpoint endpoint = endpoint(server, availability);
        if (endpoint.equals(endpointsByServer.get(server.number()))) {
            return;
        }
        endpointsByServer.put(server.number(), endpoint);
        history.add(new Change(++version, server.number()));
        if (history.size() > MAX_HISTORY) {
            oldestVersion = history.remove(0).version();
        }
    }

    /** The server's process ended now: it is removed after a while, unless the next one is up by then. */
    void noticeLoss(Server server, double afterMs) {
        int incarnation = server.incarnation();
        world.schedule(afterMs, () -> {
            if (server.incarnation() == incarnation && server.state() != Server.State.UP) {
                set(server, Availability.REMOVED);
            }
        });
    }

    /** The server's process started now: it is added after a while, unless it has ended by then. */
    void noticeStart(Server server) {
        int incarnation = server.incarnation();
        world.schedule(model.startNoticeMs(), () -> {
            if (server.incarnation() == incarnation && server.state() == Server.State.UP) {
                set(server, Availability.UP);
            }
        });
    }

    // ---- watches --------------------------------------------------------------------------------------

    /**
     * Calls for a watch of what changed after a version. The call waits for its turn: the first update, or the failure,
     * comes later.
     */
    public Watch watch(int sidecar, long sinceVersion, Watcher watcher) {
        Watch watch = new Watch(sidecar, sinceVersion, watcher);
        calls++;
        double now = world.now();
        double turnMs = Math.max(now, nextCallAtMs);
        if (isDown || turnMs - now > model.callTimeoutMs()) {
            world.schedule(isDown ? REFUSAL_MS : model.callTimeoutMs(), () -> end(watch));
            return watch;
        }
        nextCallAtMs = turnMs + 1000 / model.callsPerSecond();
        world.schedule(nextCallAtMs - now, () -> open(watch));
        return watch;
    }

    private void open(Watch watch) {
        if (isDown) {
            end(watch);
        } else if (!watch.isClosed()) {
            watch.state = Watch.State.OPEN;
            watches.add(watch);
            sendUpdate(watch, true);
            scheduleUpdate(watch);
        }
    }

    private void end(Watch watch) {
        if (!watch.isClosed()) {
            watch.close();
            watch.watcher.ended();
        }
    }

    /** Each interval is drawn, so that watches don't move in step. */
    private void scheduleUpdate(Watch watch) {
        world.schedule(world.aroundMs(model.updateIntervalMs()), () -> {
            if (!watch.isClosed()) {
                sendUpdate(watch, false);
                scheduleUpdate(watch);
            }
        });
    }

    private void sendUpdate(Watch watch, boolean isFirst) {
        if (isStalled || !isFirst && watch.version >= version) {
            return;
        }
        boolean isFull = watch.version < oldestVersion;
        List<Endpoint> update = isFull ? endpoints() : changedSince(watch.version);
        watch.version = version;
        linesSent += update.size() + 1;
        update.forEach(endpoint -> record(watch.sidecar, endpoint));
        if (isFull) {
            recordRemoved(watch.sidecar);
        }
        watch.watcher.updated(version, isFull, update);
    }

    private List<Endpoint> changedSince(long sinceVersion) {
        Set<Integer> changed = new LinkedHashSet<>();
        for (int i = history.size() - 1; i >= 0 && history.get(i).version() > sinceVersion; i--) {
            changed.add(history.get(i).server());
        }
        return changed.stream().sorted().map(endpointsByServer::get).toList();
    }

    /** A full update says of each endpoint that it does not name that it is removed. */
    private void recordRemoved(int sidecar) {
        for (Server server : world.servers()) {
            Endpoint endpoint = endpointsByServer.get(server.number());
            if (endpoint.availability() == Availability.REMOVED) {
                record(sidecar, endpoint);
            }
        }
    }

    private void record(int sidecar, Endpoint endpoint) {
        int server = world.server(endpoint.server()).orElseThrow().number();
        switch (endpoint.availability()) {
            case DRAINING -> world.record(Type.NOTIFIED_DRAINING, null, sidecar, server, 0);
            case REMOVED -> world.record(Type.NOTIFIED_REMOVED, null, sidecar, server, 0);
            default -> {
                if (endpoint.startedAtMs() != null) { // the rules of slow start bind only those that started in the run
                    world.record(Type.NOTIFIED_UP, null, sidecar, server, endpoint.startedAtMs());
                }
            }
        }
    }

    // ---- injected faults ------------------------------------------------------------------------------

    /** A directory that goes down ends all its watches. */
    void setDown(boolean isDown) {
        this.isDown = isDown;
        if (isDown) {
            new ArrayList<>(watches).forEach(this::end);
        }
    }

    void setStalled(boolean isStalled) {
        this.isStalled = isStalled;
    }
}
