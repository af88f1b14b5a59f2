package dewplank.controlplane;

import dewplank.message.Endpoint;
import dewplank.message.EndpointList;
import dewplank.message.EndpointListVersion;
import dewplank.net.Scheduler;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The endpoint list of the fleet: the lease holder polls the platform and publishes what changed; every other control
 * plane takes the newest list that it receives.
 *
 * <p>A list is published only under the fencing token under which the platform was polled, so no list of a former lease
 * holder can pass for a newer one. On the loop's thread only. A failed poll changes nothing: the last list stays.
 */
final class EndpointPoller {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointPoller.class);

    private static final double POLL_INTERVAL_MS = 400;
    /** How soon a new lease holder notices that it may poll. */
    private static final double CHECK_INTERVAL_MS = 50;
    /**
     * The lease is released when polls have failed for this fraction of {@code drain_ms}: as much is left for a
     * successor to acquire it, which takes a few round trips after a release, and for its first poll.
     */
    private static final double MAX_FAILING_FRACTION_OF_DRAIN = 0.5;
    /** Where the platform answers nobody, the lease moves on ever more slowly: after 1.5 s, 3 s, up to 24 s. */
    private static final double MAX_BACKOFF_FACTOR = 16;
    /** Long enough for another process to acquire it: at most one lease where all are up. */
    private static final double STEP_DOWN_FRACTION_OF_DRAIN = 1;

    /**
     * The stage of a server that was ordered to change it. It replaces the stage in the platform's list, which lags.
     *
     * @param expiresAt when the platform's list is trusted again, on the loop's clock in milliseconds
     */
    private record StageOverride(String stage, double expiresAt) {}

    private final Scheduler loop;
    private final PlatformClient platform;
    private final SingletonRole role;
    private final double drainMs;
    private final Consumer<EndpointList> onPublished;
    private final Map<String, StageOverride> stageOverrides = new HashMap<>();
    private EndpointList newest = new EndpointList(EndpointListVersion.NONE, List.of());
    private boolean pollPending;
    private boolean platformFailing;
    private double nextPollAt;
    private long lastPollToken;
    private double failingSince;
    private double backoffFactor = 1;

    /**
     * @param drainMs within which a drained server has to be known to all data planes
     * @param onPublished takes each list that this process publishes, within the call that publishes it
     */
    EndpointPoller(
            Scheduler loop,
            PlatformClient platform,
            SingletonRole role,
            double drainMs,
            Consumer<EndpointList> onPublished) {
        this.loop = loop;
        this.platform = platform;
        this.role = role;
        this.drainMs = drainMs;
        this.onPublished = onPublished;
    }

    void start() {
        check();
    }

    /**
     * The newest list that was published or received here; version {@link EndpointListVersion#NONE} before the first.
     */
    EndpointList newest() {
        return newest;
    }

    /**
     * Sets the stage of a server in what is published, until the platform's list agrees or for so many milliseconds.
     * Takes effect with the next list, or with {@link #publishStageOverrides}.
     */
    void overrideStage(String instanceId, String stage, double validMs) {
        stageOverrides.put(instanceId, new StageOverride(stage, loop.now() + validMs));
    }

    /** Removes all overrides: they belong to a lease that has ended. */
    void clearStageOverrides() {
        stageOverrides.clear();
    }

    /** Removes the override of a server whose order was rejected. */
    void clearStageOverride(String instanceId) {
        stageOverrides.remove(instanceId);
    }

    /** Publishes at once what {@link #overrideStage} changed, if the lease is held under that fencing token. */
    void publishStageOverrides(long fencingToken) {
        if (newest.version.fencingToken == fencingToken && role.isLeaseHolder(fencingToken)) {
            List<Endpoint> endpoints = withStageOverrides(newest.endpoints);
            if (differsFromNewest(endpoints)) {
                publish(endpoints, fencingToken);
            }
        }
    }

    private List<Endpoint> withStageOverrides(List<Endpoint> listed) {
        stageOverrides.values().removeIf(o -> o.expiresAt() < loop.now());
        return listed.stream().map(this::withStageOverride).toList();
    }

    private Endpoint withStageOverride(Endpoint endpoint) {
        StageOverride override = stageOverrides.get(endpoint.instanceId);
        return override == null ? endpoint : endpoint.withStage(override.stage());
    }

    private void dropConfirmedOverrides(List<Endpoint> listed) {
        for (Endpoint endpoint : listed) {
            StageOverride override = stageOverrides.get(endpoint.instanceId);
            if (override != null && override.stage().equals(endpoint.stage)) {
                stageOverrides.remove(endpoint.instanceId);
            }
        }
    }

    /**
     * Takes a list that another control plane published.
     *
     * @return whether it was newer than the one in place, and replaced it
     */
    boolean receive(EndpointList list) {
        if (list.version.compareTo(newest.version) <= 0) {
            return false;
        }
        newest = list;
        return true;
    }

    private void check() {
        if (role.isLeaseHolder() && !pollPending && loop.now() >= nextPollAt) {
            poll();
        }
        loop.after(CHECK_INTERVAL_MS, this::check);
    }

    private void poll() {
        pollPending = true;
        nextPollAt = loop.now() + POLL_INTERVAL_MS;
        long fencingToken = role.fencingToken();
        if (fencingToken != lastPollToken) {
            lastPollToken = fencingToken;
            failingSince = loop.now();
        }
        platform.fetchInstances(new Poll(fencingToken));
    }

    /**
     * One poll of the platform. Its result counts only while the lease is held under the token that it began under:
     * after a lapse a successor may have published newer lists, even if the lease was acquired here again since.
     */
    private final class Poll implements PlatformClient.Callback {
        private final long fencingToken;

        Poll(long fencingToken) {
            this.fencingToken = fencingToken;
        }

        @Override
        public void completed(List<Endpoint> listed) {
            pollPending = false;
            if (platformFailing) {
                platformFailing = false;
                LOG.info("platform poll recovered failingMs={}", Math.round(loop.now() - failingSince));
            }
            backoffFactor = 1;
            failingSince = loop.now();
            listed.sort(Comparator.comparing(e -> e.instanceId));
            dropConfirmedOverrides(listed);
            List<Endpoint> endpoints = withStageOverrides(listed);
            boolean firstUnderToken = newest.version.fencingToken != fencingToken;
            if ((firstUnderToken || differsFromNewest(endpoints)) && role.isLeaseHolder(fencingToken)) {
                publish(endpoints, fencingToken);
            }
        }

        @Override
        public void failed(String reason) {
            pollPending = false;
            if (!platformFailing) {
                platformFailing = true;
                LOG.warn("platform poll failed reason={}", reason);
            }
            double failingMs = loop.now() - failingSince;
            if (role.isLeaseHolder(fencingToken)
                    && failingMs >= backoffFactor * MAX_FAILING_FRACTION_OF_DRAIN * drainMs) {
                LOG.warn(
                        "lease released duty=list token={} reason=platform-unreachable failingMs={}",
                        fencingToken,
                        Math.round(failingMs));
                backoffFactor = Math.min(2 * backoffFactor, MAX_BACKOFF_FACTOR);
                role.stepDown(STEP_DOWN_FRACTION_OF_DRAIN * drainMs);
            }
        }
    }

    private boolean differsFromNewest(List<Endpoint> endpoints) {
        if (endpoints.size() != newest.endpoints.size()) {
            return true;
        }
        for (int i = 0; i < endpoints.size(); i++) {
            if (!endpoints.get(i).equalsIgnoringWarmup(newest.endpoints.get(i))) {
                return true;
            }
        }
        return false;
    }

    /** The first list under a token is published even if nothing changed: lists still in flight are older than it. */
    private void publish(List<Endpoint> endpoints, long fencingToken) {
        long revision = newest.version.fencingToken == fencingToken ? newest.version.revision + 1 : 1;
        newest = new EndpointList(new EndpointListVersion(fencingToken, revision), endpoints);
        LOG.info("endpoint list published version={} endpoints={}", newest.version, endpoints.size());
        onPublished.accept(newest);
    }
}
