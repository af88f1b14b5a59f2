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
 * A data plane with the program's own sessions and access control, in virtual time, and models of the register and of
 * three control planes. Messages are delayed, lost and overtaken by later ones, also within a connection; clocks run at
 * rates of their own; a control plane in a minority answers with what it knows. One thread; times in milliseconds.
 */
final class RevocationModel {
    static final double REVOKE_MS = 5_000;
    /** A process may be held up for so long between its decision and the first byte (docs/design-quotas.md). */
    private static final double MAX_STALL_MS = 150;
    /** So two clocks run at most 2 % apart. */
    private static final double MAX_RATE_ERROR = 0.0095;

    private static final int CONTROL_PLANES = 3;
    private static final double ROUND_INTERVAL_MS = 400;
    private static final double MAX_ROUND_MS = 250;
    private static final double CALM_DELAY_MS = 20;
    private static final int MAX_BODY_BYTES = 1_000;
    private static final TestRoute ROUTE = TestRoute.safeRoute("safe", 1);
    private static final Optional<AccessKeyDigest> KEY = Optional.of(AccessKeyDigest.of("k-1"));

    /** A configuration that was chosen, and acknowledged to its operator at once. */
    private record Chosen(Configuration configuration, boolean hasKey, double atMs) {}

    private final Random random;
    private final VirtualProcessTime time;
    private final FleetMetadata metadata;
    private final AccessControl accessControl;
    private final List<Chosen> chosen = new ArrayList<>();
    private final List<ControlPlaneModel> controlPlanes = new ArrayList<>();
    private double maxDelayMs = CALM_DELAY_MS;
    private double lossProbability;
    private int allowed;

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

    // ---- what happens ---------------------------------------------------------------------------------

    void runFor(double ms) {
        time.runUntil(time.now() + ms);
    }

    /** The next configuration is chosen and acknowledged, with the key or without it. */
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

    void freezeDataPlane(double ms) {
        time.freezeDataPlane(ms);
    }

    /** The control plane is in a minority: no quorum answers its rounds. */
    void isolate(int controlPlane, double ms) {
        controlPlanes.get(controlPlane).isolatedUntil = time.now() + ms;
    }

    /** Nothing passes between the control plane and the data plane. */
    void cut(int controlPlane, double ms) {
        controlPlanes.get(controlPlane).cutUntil = time.now() + ms;
    }

    void disturbMessages(double newMaxDelayMs, double newLossProbability) {
        maxDelayMs = newMaxDelayMs;
        lossProbability = newLossProbability;
    }

    void heal() {
        disturbMessages(CALM_DELAY_MS, 0);
        for (ControlPlaneModel control : controlPlanes) {
            control.isolatedUntil = 0;
            control.cutUntil = 0;
        }
    }

    // ---- what is checked ------------------------------------------------------------------------------

    /** A client's request with the key arrives: decided on by the data plane, or once that is thawed. */
    void sendRequest() {
        time.onDataPlaneAt(time.now(), () -> {
            if (isKeyServed()) {
                allowed++;
                if (!mayBeServed()) {
                    throw new AssertionError(
                            "served at " + time.now() + " by " + metadata.configurationVersion() + " of " + chosen);
                }
            }
        });
    }

    boolean isKeyServed() {
        return metadata.configuration() != null
                && accessControl.decide(metadata.routes().find(ClientRequests.HOST, "/safe/"), KEY)
                        instanceof AccessControl.Decision.Allowed;
    }

    /** Requests that were served. */
    int allowed() {
        return allowed;
    }

    /** Whether a configuration with the key may be acted on: it is the newest of its time, or was until recently. */
    private boolean mayBeServed() {
        double acknowledgedBefore = time.now() + MAX_STALL_MS - REVOKE_MS;
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
        /** By its own clock; when the last round that a quorum answered was started. */
        private double currentAt = Double.NEGATIVE_INFINITY;

        private double isolatedUntil;
        private double cutUntil;

        ControlPlaneModel(String address) {
            this.address = address;
        }

        private double clock() {
            return time.now() * rate;
        }

        private boolean isCut() {
            return time.now() < cutUntil;
        }

        private boolean isIsolated() {
            return time.now() < isolatedUntil;
        }

        /** A quorum answers with the newest configuration of some moment between start and end. */
        private void startRound() {
            double startedAt = clock();
            double answersAt = time.now() + random.nextDouble() * MAX_ROUND_MS;
            time.at(answersAt, () -> {
                if (!isIsolated()) {
                    Chosen answered = chosen.get(chosen.size() - 1);
                    double endsAt = time.now() + random.nextDouble() * MAX_ROUND_MS;
                    time.at(endsAt, () -> endRound(startedAt, answered));
                }
            });
            time.at(time.now() + ROUND_INTERVAL_MS * (0.75 + 0.5 * random.nextDouble()), this::startRound);
        }

        private void endRound(double startedAt, Chosen answered) {
            currentAt = Math.max(currentAt, startedAt);
            if (newest == null || answered.atMs() > newest.atMs()) {
                newest = answered;
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
            if (connectsInMs > timeoutMs || control.isCut()) {
                time.onDataPlaneAt(time.now() + timeoutMs, link::close);
            } else {
                time.onDataPlaneAt(time.now() + connectsInMs, link::establish);
            }
            return link;
        }

        @Override
        public ServerEndpoint listen(
                InetSocketAddress at, int maxConnections, Supplier<? extends MessageLink.Handler> handlers) {
            throw new UnsupportedOperationException("a data plane listens for nobody");
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
            return control.isCut() || random.nextDouble() < lossProbability;
        }

        @Override
        public void send(Object message) {
            if (isOpen() && !isLost()) {
                time.at(time.now() + delayMs(), () -> control.receive(this, message));
            }
        }

        /** Sends a message of the control plane. */
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
