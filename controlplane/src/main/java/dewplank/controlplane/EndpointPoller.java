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
    private static final double ASK_EVERY_MS = 400;
    private static final double LOOK_EVERY_MS = 50;
    /**
     * Without an answer for this part of {@code drain_ms} the duty is laid down: there is as much left for a successor
     * to win it, which takes a few round trips where it is released, and for its first question.
     */
    private static final double FAILING_PART = 0.5;
    /** Where the platform answers nobody, the duty goes round ever more slowly: 1.5 s, 3 s, up to 24 s by now. */
    private static final double MOST_PATIENCE = 16;
    /** Long enough for the others to win it, which take a lease at the most where they all live. */
    private static final double PAUSE_PART = 1;

    /** Whether this process holds the duty, and under which fencing number. */
    interface Duty {
        boolean holds();

        long fencingNumber();

        /** Whether it is held without a break since it was won under this number: to be asked right before each act. */
        default boolean holds(long number) {
            return holds() && fencingNumber() == number;
        }

        /** Lays it down for at least so long: another may be able to do what this process can't. */
        default void pause(double ms) {}
    }

    /**
     * What is known here better than from the platform, whose list lags: the stage of a server that was ordered to
     * change it.
     */
    private record KnownStage(String stage, double until) {}

    private final Scheduler loop;
    private final PlatformClient platform;
    private final Duty duty;
    private final double drainMs;
    private final Consumer<EndpointList> changed;
    private EndpointList newest = new EndpointList(EndpointListVersion.NONE, List.of());
    private final Map<String, KnownStage> knownStages = new HashMap<>();
    private boolean asking;
    private boolean failing;
    private double askAt;
    private long askedUnder;
    private double failingSince;
    private double patience = 1;

    EndpointPoller(Scheduler loop, PlatformClient platform, Duty duty, double drainMs, Consumer<EndpointList> changed) {
        this.loop = loop;
        this.platform = platform;
        this.duty = duty;
        this.drainMs = drainMs;
        this.changed = changed;
    }

    void start() {
        look();
    }

    EndpointList newest() {
        return newest;
    }

    /**
     * Tells the stage of a server from now on, until the platform's list says the same or for so many milliseconds.
     * Counts while this process holds the duty.
     */
    void stageIs(String instanceId, String stage, double forMs) {
        knownStages.put(instanceId, new KnownStage(stage, loop.now() + forMs));
    }

    /** What was said of servers' stages under another number counts no more. */
    void stagesAreUnknown() {
        knownStages.clear();
    }

    /** What was said of the server's stage counts no more. */
    void stageIsUnknown(String instanceId) {
        knownStages.remove(instanceId);
    }

    /** Tells at once what {@link #stageIs} changed, where this process holds the duty under that number. */
    void tellStages(long number) {
        if (newest.version.fencingNumber == number && duty.holds(number)) {
            List<Endpoint> servers = withKnownStages(newest.servers);
            if (differs(servers)) {
                publish(servers, number);
            }
        }
    }

    private List<Endpoint> withKnownStages(List<Endpoint> listed) {
        knownStages.values().removeIf(k -> k.until() < loop.now());
        return listed.stream().map(this::withKnownStage).toList();
    }

    private Endpoint withKnownStage(Endpoint entry) {
        KnownStage known = knownStages.get(entry.instanceId);
        return known == null ? entry : entry.inStage(known.stage());
    }

    private void forgetListedStages(List<Endpoint> listed) {
        for (Endpoint entry : listed) {
            KnownStage known = knownStages.get(entry.instanceId);
            if (known != null && known.stage().equals(entry.stage)) {
                knownStages.remove(entry.instanceId);
            }
        }
    }

    /** Another holder's list; whether it is newer. */
    boolean told(EndpointList list) {
        if (list.version.compareTo(newest.version) <= 0) {
            return false;
        }
        newest = list;
        return true;
    }

    private void look() {
        if (duty.holds() && !asking && loop.now() >= askAt) {
            asking = true;
            askAt = loop.now() + ASK_EVERY_MS;
            askedUnder(duty.fencingNumber());
            platform.ask(new Asked(duty.fencingNumber()));
        }
        loop.after(LOOK_EVERY_MS, this::look);
    }

    private void askedUnder(long number) {
        if (number != askedUnder) {
            askedUnder = number;
            failingSince = loop.now();
        }
    }

    /**
     * One reading of the list. It counts under the number alone under which it was asked for: once the lease has
     * lapsed in between, a successor may have told newer ones, also where the duty has been won back here since.
     */
    private final class Asked implements PlatformClient.Ended {
        private final long number;

        Asked(long number) {
            this.number = number;
        }

        @Override
        public void listed(List<Endpoint> servers) {
            asking = false;
            if (failing) {
                failing = false;
                LOG.info("the platform's list can be read again");
            }
            patience = 1;
            failingSince = loop.now();
            servers.sort(Comparator.comparing(s -> s.instanceId));
            forgetListedStages(servers);
            List<Endpoint> told = withKnownStages(servers);
            boolean firstUnderNumber = newest.version.fencingNumber != number;
            if ((firstUnderNumber || differs(told)) && duty.holds(number)) {
                publish(told, number);
            }
        }

        @Override
        public void failed(String why) {
            asking = false;
            if (!failing) {
                failing = true;
                LOG.warn("the platform's list can't be read: {}", why);
            }
            if (duty.holds(number) && loop.now() - failingSince >= patience * FAILING_PART * drainMs) {
                LOG.warn("the duty is laid down here, as the platform's list can't be read");
                patience = Math.min(2 * patience, MOST_PATIENCE);
                duty.pause(PAUSE_PART * drainMs);
            }
        }
    }

    private boolean differs(List<Endpoint> servers) {
        if (servers.size() != newest.servers.size()) {
            return true;
        }
        for (int i = 0; i < servers.size(); i++) {
            if (!servers.get(i).sameAs(newest.servers.get(i))) {
                return true;
            }
        }
        return false;
    }

    /** The first list under a number is told even if it says nothing new: those still under way are older by it. */
    private void publish(List<Endpoint> servers, long number) {
        long revision = newest.version.fencingNumber == number ? newest.version.revision + 1 : 1;
        newest = new EndpointList(new EndpointListVersion(number, revision), servers);
        LOG.info("list of servers {}: {} servers", newest.version, servers.size());
        changed.accept(newest);
    }
}
