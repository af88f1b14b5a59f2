package dewplank.emulator.virtualtime;

import dewplank.balancer.Event.HealthChecked;
import dewplank.emulator.Server;
import dewplank.emulator.World;

/** Sends a sidecar's health checks; their connections are not modelled. Confined to the scheduler thread. */
final class HealthChecker {
    private static final double TIMEOUT_MS = 250;

    private final World world;
    private final int sidecar;
    private final EventInbox inbox;
    private long sentCount;

    HealthChecker(SidecarContext context) {
        this.world = context.world();
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
        double sentAtMs = world.now();
        double roundTripMs = world.delay(sidecar, server) + world.delay(sidecar, server);
        boolean isLost = server.state() == Server.State.VANISHED || world.isPartitioned(sidecar, server.number());
        world.schedule(isLost ? TIMEOUT_MS : roundTripMs, () -> {
            boolean isServing = !isLost && server.state() == Server.State.UP;
            inbox.add(incarnation, new HealthChecked(server.id(), isServing, world.now() - sentAtMs, null));
        });
    }
}
