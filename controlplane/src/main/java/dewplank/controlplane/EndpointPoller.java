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
 * Maintains the endpoint list of the fleet. On the lease holder it polls the platform and publishes a list that has
 * changed; on every other control plane it stores the newest list that was received.
 *
 * <p>A list is published only under the fencing token under which the platform was polled, so a list of a former lease
 * holder can't be taken for a newer one. If a poll fails, the last list remains in use. Must be used on the loop's
 * thread only.
 */
final class EndpointPoller {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointPoller.class);

    private static final double POLL_INTERVAL_MS = 400;
    /** Interval at which the lease is checked; a new lease holder starts to poll within it. */
    private static final double CHECK_INTERVAL_MS = 50;
    /**
     * The lease is released when polls have failed for this fraction of {@code drain_ms}. In the remaining half, a
     * successor acquires the lease, which takes a few round trips after a release, and completes its first poll.
     */
    private static final double MAX_FAILING_FRACTION_OF_DRAIN = 0.5;
    /**
     * Limit of the factor by which the time until a release grows. While the platform responds to no control plane,
     * each release doubles this time: with a {@code drain_ms} of 3,000 it is 1.5 s, 3 s, and so on up to 24 s.
     */
    private static final double MAX_BACKOFF_FACTOR = 16;
    /**
     * After a release, this process does not become a candidate for this fraction of {@code drain_ms}. This is long
     * enough for another process to acquire the lease, which takes at most one lease duration if all processes are up.
     */
    private static final double STEP_DOWN_FRACTION_OF_DRAIN = 1;

    /**
     * The stage of a server that was ordered to change its stage. It takes precedence over the stage in the platform's
     * list, which is updated with a delay.
     *
     * @param expiresAt when the platform's list takes precedence again, on the loop's clock in milliseconds
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
     * @param drainMs time within which all data planes must be notified of a draining server
     * @param onPublished receives each list that this process publishes, within the call that publishes it
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
     * The newest list that this process published or received; version {@link EndpointListVersion#NONE} before the
     * first.
     */
    EndpointList newest() {
        return newest;
    }

    /**
     * Sets the stage of a server in published lists until the platform's list agrees or {@code validMs} milliseconds
     * have passed. Takes effect with the next list, or with {@link #publishStageOverrides}.
     */
    void overrideStage(String instanceId, String stage, double validMs) {
        stageOverrides.put(instanceId, new StageOverride(stage, loop.now() + validMs));
    }

    /** Removes all overrides, when the lease under which they were set has been lost. */
    void clearStageOverrides() {
        stageOverrides.clear();
    }

    /** Removes the override for a server whose order was rejected. */
    void clearStageOverride(String instanceId) {
        stageOverrides.remove(instanceId);
    }

    /**
     * Publishes the changes made by {@link #overrideStage} immediately, if this process holds the lease under that
     * fencing token.
     */
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

    private void removeConfirmedOverrides(List<Endpoint> listed) {
        for (Endpoint endpoint : listed) {
            StageOverride override = stageOverrides.get(endpoint.instanceId);
            if (override != null && override.stage().equals(endpoint.stage)) {
                stageOverrides.remove(endpoint.instanceId);
            }
        }
    }

    /**
     * Receives a list that another control plane published.
     *
     * @return whether it was newer than the current list and replaced it
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
     * One poll of the platform. Its result is published only if this process still holds the lease under the token that
     * the poll started with. After a lease has expired, a successor may have published newer lists, even if this
     * process has acquired the lease again since.
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
            removeConfirmedOverrides(listed);
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

    /**
     * Publishes the list. The first one under a token is published even if nothing has changed, so that lists still in
     * flight are older than it.
     */
    private void publish(List<Endpoint> endpoints, long fencingToken) {
        long revision = newest.version.fencingToken == fencingToken ? newest.version.revision + 1 : 1;
        newest = new EndpointList(new EndpointListVersion(fencingToken, revision), endpoints);
        LOG.info("endpoint list published version={} endpoints={}", newest.version, endpoints.size());
        onPublished.accept(newest);
    }
}
