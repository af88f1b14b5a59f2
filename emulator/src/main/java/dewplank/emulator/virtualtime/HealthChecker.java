package dewplank.emulator.virtualtime;

import dewplank.balancer.Event.HealthChecked;
import dewplank.emulator.EmulatedEnvironment;
import dewplank.emulator.Server;

/** Sends a sidecar's health checks; their connections are not modelled. Confined to the scheduler thread. */
final class HealthChecker {
    private static final double TIMEOUT_MS = 250;

    private final EmulatedEnvironment environment;
    private final int sidecar;
    private final EventInbox inbox;
    private long sentCount;

    HealthChecker(SidecarContext context) {
        this.environment = context.environment();
        this.sidecar = context.number();
        this.inbox = context.inbox();
    }

    /** Number of health checks sent so far. */
    long sentCount() {
        return sentCount;
    }

    void check(Server server) {
        sentCount++;
        int incarnation = inbox.incarnation();
        double sentAtMs = environment.now();
        double roundTripMs = environment.drawDelayMs(sidecar, server) + environment.drawDelayMs(sidecar, server);
        boolean isLost = server.state() == Server.State.VANISHED || environment.isPartitioned(sidecar, server.number());
        environment.schedule(isLost ? TIMEOUT_MS : roundTripMs, () -> {
            boolean isServing = !isLost && server.state() == Server.State.UP;
            inbox.add(incarnation, new HealthChecked(server.id(), isServing, environment.now() - sentAtMs, null));
        });
    }
}
