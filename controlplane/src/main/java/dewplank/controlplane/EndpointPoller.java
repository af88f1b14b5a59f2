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

/** The list of servers: the holder of the duty asks the platform, all keep the newest list. */
final class EndpointPoller {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointPoller.class);
    private static final double POLL_INTERVAL_MS = 400;
    private static final double CHECK_INTERVAL_MS = 50;
    /**
     * Without an answer for this part of {@code drain_ms} the duty is laid down: there is as much left for a successor
     * to win it, which takes a few round trips where it is released, and for its first question.
     */
    private static final double MAX_FAILING_FRACTION_OF_DRAIN = 0.5;
    /** Where the platform answers nobody, the duty goes round ever more slowly: 1.5 s, 3 s, up to 24 s by now. */
    private static final double MAX_BACKOFF_FACTOR = 16;
    /** Long enough for the others to win it, which take a lease at the most where they all live. */
    private static final double STEP_DOWN_FRACTION_OF_DRAIN = 1;

    /**
     * What is known here better than from the platform, whose list lags: the stage of a server that was ordered to
     * change it.
     */
    private record StageOverride(String stage, double expiresAt) {}

    private final Scheduler loop;
    private final PlatformClient platform;
    private final SingletonRole duty;
    private final double drainMs;
    private final Consumer<EndpointList> changed;
    private EndpointList newest = new EndpointList(EndpointListVersion.NONE, List.of());
    private final Map<String, StageOverride> stageOverrides = new HashMap<>();
    private boolean pollPending;
    private boolean platformFailing;
    private double nextPollAt;
    private long polledUnderToken;
    private double failingSince;
    private double backoffFactor = 1;

    EndpointPoller(
            Scheduler loop,
            PlatformClient platform,
            SingletonRole duty,
            double drainMs,
            Consumer<EndpointList> changed) {
        this.loop = loop;
        this.platform = platform;
        this.duty = duty;
        this.drainMs = drainMs;
        this.changed = changed;
    }

    void start() {
        check();
    }

    EndpointList newest() {
        return newest;
    }

    /**
     * Tells the stage of a server from now on, until the platform's list says the same or for so many milliseconds.
     * Counts while this process holds the duty.
     */
    void overrideStage(String instanceId, String stage, double validMs) {
        stageOverrides.put(instanceId, new StageOverride(stage, loop.now() + validMs));
    }

    /** What was said of servers' stages under another number counts no more. */
    void clearStageOverrides() {
        stageOverrides.clear();
    }

    /** What was said of the server's stage counts no more. */
    void clearStageOverride(String instanceId) {
        stageOverrides.remove(instanceId);
    }

    /** Tells at once what {@link #overrideStage} changed, where this process holds the duty under that number. */
    void publishStageOverrides(long number) {
        if (newest.version.fencingToken == number && duty.isHeld(number)) {
            List<Endpoint> servers = withStageOverrides(newest.endpoints);
            if (differs(servers)) {
                publish(servers, number);
            }
        }
    }

    private List<Endpoint> withStageOverrides(List<Endpoint> listed) {
        stageOverrides.values().removeIf(k -> k.expiresAt() < loop.now());
        return listed.stream().map(this::withStageOverride).toList();
    }

    private Endpoint withStageOverride(Endpoint entry) {
        StageOverride override = stageOverrides.get(entry.instanceId);
        return override == null ? entry : entry.withStage(override.stage());
    }

    private void dropConfirmedOverrides(List<Endpoint> listed) {
        for (Endpoint entry : listed) {
            StageOverride override = stageOverrides.get(entry.instanceId);
            if (override != null && override.stage().equals(entry.stage)) {
                stageOverrides.remove(entry.instanceId);
            }
        }
    }

    /** Another holder's list; whether it is newer. */
    boolean receive(EndpointList list) {
        if (list.version.compareTo(newest.version) <= 0) {
            return false;
        }
        newest = list;
        return true;
    }

    private void check() {
        if (duty.isHeld() && !pollPending && loop.now() >= nextPollAt) {
            pollPending = true;
            nextPollAt = loop.now() + POLL_INTERVAL_MS;
            polledUnderToken(duty.fencingToken());
            platform.fetchInstances(new PollResult(duty.fencingToken()));
        }
        loop.after(CHECK_INTERVAL_MS, this::check);
    }

    private void polledUnderToken(long number) {
        if (number != polledUnderToken) {
            polledUnderToken = number;
            failingSince = loop.now();
        }
    }

    /**
     * One reading of the list. It counts under the number alone under which it was asked for: once the lease has
     * lapsed in between, a successor may have told newer ones, also where the duty has been won back here since.
     */
    private final class PollResult implements PlatformClient.Callback {
        private final long number;

        PollResult(long number) {
            this.number = number;
        }

        @Override
        public void completed(List<Endpoint> servers) {
            pollPending = false;
            if (platformFailing) {
                platformFailing = false;
                LOG.info("platform poll recovered failingMs={}", Math.round(loop.now() - failingSince));
            }
            backoffFactor = 1;
            failingSince = loop.now();
            servers.sort(Comparator.comparing(s -> s.instanceId));
            dropConfirmedOverrides(servers);
            List<Endpoint> endpoints = withStageOverrides(servers);
            boolean firstUnderNumber = newest.version.fencingToken != number;
            if ((firstUnderNumber || differs(endpoints)) && duty.isHeld(number)) {
                publish(endpoints, number);
            }
        }

        @Override
        public void failed(String why) {
            pollPending = false;
            if (!platformFailing) {
                platformFailing = true;
                LOG.warn("platform poll failed reason={}", why);
            }
            if (duty.isHeld(number)
                    && loop.now() - failingSince >= backoffFactor * MAX_FAILING_FRACTION_OF_DRAIN * drainMs) {
                LOG.warn(
                        "lease released duty=list token={} reason=platform-unreachable failingMs={}",
                        number,
                        Math.round(loop.now() - failingSince));
                backoffFactor = Math.min(2 * backoffFactor, MAX_BACKOFF_FACTOR);
                duty.stepDown(STEP_DOWN_FRACTION_OF_DRAIN * drainMs);
            }
        }
    }

    private boolean differs(List<Endpoint> servers) {
        if (servers.size() != newest.endpoints.size()) {
            return true;
        }
        for (int i = 0; i < servers.size(); i++) {
            if (!servers.get(i).equalsIgnoringWarmup(newest.endpoints.get(i))) {
                return true;
            }
        }
        return false;
    }

    /** The first list under a number is told even if it says nothing new: those still under way are older by it. */
    private void publish(List<Endpoint> servers, long number) {
        long revision = newest.version.fencingToken == number ? newest.version.revision + 1 : 1;
        newest = new EndpointList(new EndpointListVersion(number, revision), servers);
        LOG.info("endpoint list published version={} endpoints={}", newest.version, servers.size());
        changed.accept(newest);
    }
}
