package dewplank.emulator.virtualtime;

import dewplank.balancer.Endpoint;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.UpdateKind;
import dewplank.emulator.EmulatedEnvironment;
import dewplank.emulator.EndpointDirectory;
import java.util.List;
import java.util.Optional;

/**
 * A sidecar's subscription to the directory: the version of its endpoint list, and the watch that delivers updates.
 * Confined to the scheduler thread.
 */
final class DirectorySubscription {
    private final EmulatedEnvironment environment;
    private final int sidecar;
    private final EventInbox inbox;
    private Optional<EndpointDirectory.Watch> watch = Optional.empty();
    private long version;

    DirectorySubscription(SidecarContext context) {
        this.environment = context.environment();
        this.sidecar = context.number();
        this.inbox = context.inbox();
    }

    /** Loads the endpoint list that was cached before the sidecar's process started. */
    void loadCached(long cachedVersion, List<Endpoint> endpoints) {
        version = cachedVersion;
        inbox.add(new EndpointUpdate(UpdateKind.CACHED, endpoints));
    }

    /** Opens a watch for the changes after the current version, and closes the previous watch. */
    void subscribe() {
        close();
        watch = Optional.of(environment.directory().watch(sidecar, version, new Updates(inbox.incarnation())));
    }

    /** Closes the watch if there is one. Idempotent. */
    void close() {
        watch.ifPresent(EndpointDirectory.Watch::close);
    }

    /** Delivers updates to the sidecar's incarnation that opened the watch. */
    private final class Updates implements EndpointDirectory.Watcher {
        private final int incarnation;

        Updates(int incarnation) {
            this.incarnation = incarnation;
        }

        @Override
        public void updated(long newVersion, boolean full, List<Endpoint> entries) {
            if (incarnation == inbox.incarnation()) {
                version = newVersion;
                inbox.add(new EndpointUpdate(full ? UpdateKind.FULL : UpdateKind.INCREMENTAL, entries));
            }
        }

        @Override
        public void onClosed() {
            inbox.add(incarnation, new EndpointUpdate(UpdateKind.BROKEN, List.of()));
        }
    }
}
