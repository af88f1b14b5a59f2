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
 * The endpoint directory: its endpoint list and the watches that it sends updates to. It detects changes with a delay,
 * updates each watch at intervals, and accepts calls one at a time at a limited rate.
 *
 * <p>All methods must be called on the scheduler thread.
 */
public final class EndpointDirectory {
    /** The server whose endpoint changed, and the list version that contains the change. */
    private record Change(long version, int server) {}

    /** Receives the updates of a watch, on the scheduler thread. */
    public interface Watcher {
        /** {@code full}: the update lists all endpoints; otherwise only the changed ones. */
        void updated(long version, boolean full, List<Endpoint> endpoints);

        /** The call failed, or the directory became unavailable. */
        void onClosed();
    }

    /** A sidecar's watch on the endpoint list. */
    public final class Watch {
        private enum State {
            /** The call is queued at the directory. */
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

        /** Closes the watch; its watcher is not called again. */
        public void close() {
            state = State.CLOSED;
            watches.remove(this);
        }
    }

    /** Number of changes that are stored for incremental updates. */
    private static final int MAX_HISTORY = 4_096;
    /** Time after which a call to an unavailable directory fails. */
    private static final double REFUSAL_DELAY_MS = 1;

    private final EmulatedEnvironment environment;
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

    EndpointDirectory(EmulatedEnvironment environment) {
        this.environment = environment;
        this.model = environment.scenario().directory();
        for (Server server : environment.servers()) {
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

    /** Version of the list, incremented with each change. */
    public long version() {
        return version;
    }

    /** Whether the directory refuses calls. */
    public boolean isDown() {
        return isDown;
    }

    /** Whether the directory accepts calls but sends no updates. */
    public boolean isStalled() {
        return isStalled;
    }

    /** Number of watch calls so far. */
    public long calls() {
        return calls;
    }

    /** Number of lines sent so far: one for each update, and one for each endpoint in it. */
    public long linesSent() {
        return linesSent;
    }

    /** The endpoints that have not been removed, ordered by server number. */
    public List<Endpoint> endpoints() {
        List<Endpoint> listed = new ArrayList<>();
        for (Server server : environment.servers()) {
            Endpoint endpoint = endpointsByServer.get(server.number());
            if (endpoint.availability() != Availability.REMOVED) {
                listed.add(endpoint);
            }
        }
        return listed;
    }

    // ---- list changes ---------------------------------------------------------------------------------

    /** Updates the server's entry in the list if it has changed. */
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

    /** Schedules the removal of a server whose process has just ended, unless it has restarted by then. */
    void scheduleRemoval(Server server, double afterMs) {
        int incarnation = server.incarnation();
        environment.schedule(afterMs, () -> {
            if (server.incarnation() == incarnation && server.state() != Server.State.UP) {
                set(server, Availability.REMOVED);
            }
        });
    }

    /** Schedules the addition of a server whose process has just started, unless it has ended by then. */
    void scheduleAddition(Server server) {
        int incarnation = server.incarnation();
        environment.schedule(model.startDetectionMs(), () -> {
            if (server.incarnation() == incarnation && server.state() == Server.State.UP) {
                set(server, Availability.UP);
            }
        });
    }

    // ---- watches --------------------------------------------------------------------------------------

    /**
     * Opens a watch for the changes after a version. The call is queued; the watcher receives the first update, or the
     * failure, later.
     */
    public Watch watch(int sidecar, long sinceVersion, Watcher watcher) {
        Watch watch = new Watch(sidecar, sinceVersion, watcher);
        calls++;
        double now = environment.now();
        double queuedUntilMs = Math.max(now, nextCallAtMs);
        if (isDown || queuedUntilMs - now > model.callTimeoutMs()) {
            environment.schedule(isDown ? REFUSAL_DELAY_MS : model.callTimeoutMs(), () -> end(watch));
            return watch;
        }
        nextCallAtMs = queuedUntilMs + 1000 / model.callsPerSecond();
        environment.schedule(nextCallAtMs - now, () -> open(watch));
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
            watch.watcher.onClosed();
        }
    }

    /** Each interval is drawn at random, so that the updates of different watches don't synchronize. */
    private void scheduleUpdate(Watch watch) {
        environment.schedule(environment.drawDurationMs(model.updateIntervalMs()), () -> {
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

    /** A full update implies that each endpoint that it doesn't list has been removed. */
    private void recordRemoved(int sidecar) {
        for (Server server : environment.servers()) {
            Endpoint endpoint = endpointsByServer.get(server.number());
            if (endpoint.availability() == Availability.REMOVED) {
                record(sidecar, endpoint);
            }
        }
    }

    private void record(int sidecar, Endpoint endpoint) {
        int server = environment.server(endpoint.server()).orElseThrow().number();
        switch (endpoint.availability()) {
            case DRAINING -> environment.record(Type.NOTIFIED_DRAINING, null, sidecar, server, 0);
            case REMOVED -> environment.record(Type.NOTIFIED_REMOVED, null, sidecar, server, 0);
            default -> {
                if (endpoint.startedAtMs() != null) { // slow start applies only to processes started in the run
                    environment.record(Type.NOTIFIED_UP, null, sidecar, server, endpoint.startedAtMs());
                }
            }
        }
    }

    // ---- injected faults ------------------------------------------------------------------------------

    /** A directory that becomes unavailable closes all its watches. */
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
