package dewplank.dataplane;

import dewplank.configuration.AccessKeyDigest;
import dewplank.configuration.Configuration;
import dewplank.configuration.InvalidConfigurationException;
import dewplank.membership.Member;
import dewplank.message.ConfirmedConfiguration;
import dewplank.message.HeartbeatAck;
import dewplank.message.MessageLink;
import dewplank.message.MessageTransport;
import dewplank.message.SessionHeartbeat;
import dewplank.net.Scheduler;
import dewplank.net.ServerEndpoint;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * A data plane with the production code of sessions and access control in virtual time, and models of the register and
 * of three control planes. Messages are delayed, lost and reordered, also within a connection; clocks run at different
 * rates; a control plane in a minority replies with the last state that it has. Single-threaded; times are in
 * milliseconds.
 */
final class RevocationModel {
    static final double REVOKE_MS = 5_000;
    /** Maximum pause of a process between its decision and the first byte sent (docs/design-quotas.md). */
    private static final double MAX_PAUSE_MS = 150;
    /** With this error, the rates of two clocks differ by at most 2 %. */
    private static final double MAX_RATE_ERROR = 0.0095;

    private static final int CONTROL_PLANES = 3;
    private static final double ROUND_INTERVAL_MS = 400;
    private static final double MAX_ROUND_MS = 250;
    private static final double NORMAL_MAX_DELAY_MS = 20;
    private static final int MAX_BODY_BYTES = 1_000;
    private static final TestRoute ROUTE = TestRoute.safeRoute("safe", 1);
    private static final Optional<AccessKeyDigest> KEY = Optional.of(AccessKeyDigest.of("k-1"));

    /** A configuration that was chosen and, at the same time, acknowledged to its operator. */
    private record Chosen(Configuration configuration, boolean hasKey, double atMs) {}

    private final Random random;
    private final VirtualProcessTime time;
    private final FleetMetadata metadata;
    private final AccessControl accessControl;
    private final List<Chosen> chosen = new ArrayList<>();
    private final List<ControlPlaneModel> controlPlanes = new ArrayList<>();
    private double maxDelayMs = NORMAL_MAX_DELAY_MS;
    private double lossProbability;
    private int allowedRequests;

    RevocationModel(Random random) {
        this.random = random;
        time = new VirtualProcessTime(clockRate());
        Scheduler dataPlane = time.dataPlane();
        metadata = new FleetMetadata(dataPlane);
        accessControl = new AccessControl(dataPlane, metadata, new AccessControl.Revocation(true, REVOKE_MS));
        for (int index = 0; index < CONTROL_PLANES; index++) {
            controlPlanes.add(new ControlPlaneModel("10.0.0." + (index + 1) + ":1"));
        }
        choose(true);
        controlPlanes.forEach(ControlPlaneModel::startRound);
        SessionClient sessions = new SessionClient(
                dataPlane,
                new ModelTransport(),
                new Member("n1", Member.DATA, "10.0.0.9:1", "z", 17),
                metadata,
                new SplittableRandom(random.nextLong()),
                0,
                () -> {});
        sessions.setSeeds(addresses());
        time.onDataPlaneAt(0, sessions::start);
    }

    private double clockRate() {
        return 1 + MAX_RATE_ERROR * (2 * random.nextDouble() - 1);
    }

    private List<String> addresses() {
        return controlPlanes.stream().map(control -> control.address).toList();
    }

    // ---- events and faults ----------------------------------------------------------------------------

    void runFor(double ms) {
        time.runUntil(time.now() + ms);
    }

    /** Chooses and acknowledges the next configuration, with or without the key. */
    void choose(boolean hasKey) {
        String keys = hasKey ? "\"k-1\"" : "";
        String tenants = "[{\"name\":\"acme\",\"access_keys\":[" + keys + "]}]";
        try {
            Configuration next = TestConfiguration.of(chosen.size() + 1, MAX_BODY_BYTES, tenants, ROUTE);
            chosen.add(new Chosen(next, hasKey, time.now()));
        } catch (InvalidConfigurationException impossible) {
            throw new AssertionError(impossible);
        }
    }

    boolean newestHasKey() {
        return chosen.get(chosen.size() - 1).hasKey();
    }

    void pauseDataPlane(double ms) {
        time.pauseDataPlane(ms);
    }

    /** Places the control plane in a minority: no quorum replies in its rounds. */
    void isolate(int controlPlane, double ms) {
        controlPlanes.get(controlPlane).isolatedUntil = time.now() + ms;
    }

    /** Partitions the control plane from the data plane. */
    void partition(int controlPlane, double ms) {
        controlPlanes.get(controlPlane).partitionedUntil = time.now() + ms;
    }

    void setMessageFaults(double newMaxDelayMs, double newLossProbability) {
        maxDelayMs = newMaxDelayMs;
        lossProbability = newLossProbability;
    }

    void heal() {
        setMessageFaults(NORMAL_MAX_DELAY_MS, 0);
        for (ControlPlaneModel control : controlPlanes) {
            control.isolatedUntil = 0;
            control.partitionedUntil = 0;
        }
    }

    // ---- checks ---------------------------------------------------------------------------------------

    /** A client's request with the key arrives; the data plane decides on it now or, if paused, when it resumes. */
    void sendRequest() {
        time.onDataPlaneAt(time.now(), () -> {
            if (isKeyAccepted()) {
                allowedRequests++;
                if (!mayBeAccepted()) {
                    throw new AssertionError("key accepted at " + time.now() + " by version "
                            + metadata.configurationVersion() + " of " + chosen);
                }
            }
        });
    }

    boolean isKeyAccepted() {
        return metadata.configuration() != null
                && accessControl.decide(metadata.routes().find(ClientRequests.HOST, "/safe/"), KEY)
                        instanceof AccessControl.Decision.Allowed;
    }

    /** The number of requests that were allowed. */
    int allowedRequests() {
        return allowedRequests;
    }

    /** Whether the key may be accepted: the newest configuration has it, or did one that was replaced recently. */
    private boolean mayBeAccepted() {
        double acknowledgedBefore = time.now() + MAX_PAUSE_MS - REVOKE_MS;
        for (int index = chosen.size() - 1; index >= 0; index--) {
            if (chosen.get(index).hasKey()) {
                return true;
            }
            if (chosen.get(index).atMs() <= acknowledgedBefore) {
                return false;
            }
        }
        return false;
    }

    // ---- control planes -------------------------------------------------------------------------------

    private final class ControlPlaneModel {
        private final String address;
        private final double rate = clockRate();
        private Chosen newest;
        /** When the last round in which a quorum replied was started, by this control plane's clock. */
        private double currentAt = Double.NEGATIVE_INFINITY;

        private double isolatedUntil;
        private double partitionedUntil;

        ControlPlaneModel(String address) {
            this.address = address;
        }

        private double clock() {
            return time.now() * rate;
        }

        private boolean isPartitioned() {
            return time.now() < partitionedUntil;
        }

        private boolean isIsolated() {
            return time.now() < isolatedUntil;
        }

        /** Starts a round: a quorum replies with the configuration that is the newest at some time during the round. */
        private void startRound() {
            double startedAt = clock();
            double repliesAt = time.now() + random.nextDouble() * MAX_ROUND_MS;
            time.at(repliesAt, () -> {
                if (!isIsolated()) {
                    Chosen reported = chosen.get(chosen.size() - 1);
                    double completesAt = time.now() + random.nextDouble() * MAX_ROUND_MS;
                    time.at(completesAt, () -> completeRound(startedAt, reported));
                }
            });
            time.at(time.now() + ROUND_INTERVAL_MS * (0.75 + 0.5 * random.nextDouble()), this::startRound);
        }

        private void completeRound(double startedAt, Chosen reported) {
            currentAt = Math.max(currentAt, startedAt);
            if (newest == null || reported.atMs() > newest.atMs()) {
                newest = reported;
            }
        }

        private void receive(ModelLink link, Object message) {
            if (message instanceof SessionHeartbeat heartbeat) {
                link.deliver(new HeartbeatAck(heartbeat.sequence, !isIsolated(), addresses(), confirmed()));
                if (newest != null && newest.configuration().version() > heartbeat.configurationVersion) {
                    link.deliver(FleetUpdates.complete(newest.configuration()));
                }
            }
        }

        private ConfirmedConfiguration confirmed() {
            return newest == null
                    ? null
                    : new ConfirmedConfiguration(newest.configuration().version(), clock() - currentAt);
        }
    }

    // ---- connections ----------------------------------------------------------------------------------

    private double delayMs() {
        return random.nextDouble() * maxDelayMs;
    }

    private final class ModelTransport implements MessageTransport {
        @Override
        public MessageLink open(InetSocketAddress to, double timeoutMs, MessageLink.Handler handler) {
            ControlPlaneModel control = controlPlanes.stream()
                    .filter(c -> SocketAddresses.parse(c.address).equals(to))
                    .findFirst()
                    .orElseThrow();
            ModelLink link = new ModelLink(control, handler);
            double connectsInMs = delayMs();
            if (connectsInMs > timeoutMs || control.isPartitioned()) {
                time.onDataPlaneAt(time.now() + timeoutMs, link::close);
            } else {
                time.onDataPlaneAt(time.now() + connectsInMs, link::establish);
            }
            return link;
        }

        @Override
        public ServerEndpoint listen(
                InetSocketAddress at, int maxConnections, Supplier<? extends MessageLink.Handler> handlers) {
            throw new UnsupportedOperationException("a data plane does not listen for messages");
        }
    }

    /** The data plane's end of a connection. */
    private final class ModelLink implements MessageLink {
        private final ControlPlaneModel control;
        private final MessageLink.Handler handler;
        private boolean established;
        private boolean closed;

        ModelLink(ControlPlaneModel control, MessageLink.Handler handler) {
            this.control = control;
            this.handler = handler;
        }

        private void establish() {
            if (!closed) {
                established = true;
                handler.opened(this);
            }
        }

        private boolean isLost() {
            return control.isPartitioned() || random.nextDouble() < lossProbability;
        }

        @Override
        public void send(Object message) {
            if (isOpen() && !isLost()) {
                time.at(time.now() + delayMs(), () -> control.receive(this, message));
            }
        }

        /** Sends a message from the control plane to the data plane. */
        private void deliver(Object message) {
            if (!isLost()) {
                time.onDataPlaneAt(time.now() + delayMs(), () -> {
                    if (isOpen()) {
                        handler.received(this, message);
                    }
                });
            }
        }

        @Override
        public boolean isOpen() {
            return established && !closed;
        }

        @Override
        public boolean isClosed() {
            return closed;
        }

        @Override
        public void close() {
            if (!closed) {
                closed = true;
                handler.closed(this);
            }
        }
    }
}
