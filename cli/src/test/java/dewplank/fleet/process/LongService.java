package dewplank.fleet.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.emulator.fleet.FleetConfiguration;
import dewplank.emulator.fleet.Futures;
import dewplank.emulator.fleet.RouteSpec;
import dewplank.emulator.fleet.ServerIdentity;
import dewplank.emulator.fleet.ServerStage;
import dewplank.emulator.fleet.ServiceSpec;
import dewplank.fleet.FleetHarness;
import java.io.IOException;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;

/** Adds a service to a fleet whose server reads and sends bodies of any length. */
final class LongService {
    static final RouteSpec ROUTE = RouteSpec.to("long", "long", RouteSpec.Kind.UNSAFE);
    private static final int PORT = 18_081;
    private static final long VERSION = 8;

    private LongService() {}

    /** Configures the route, starts the server and waits until it is reached through the first data plane. */
    static RawServer start(FleetHarness harness, int responseBytes, boolean sendsLength, int delayMs) throws Exception {
        FleetConfiguration next = configuration(VERSION);
        assertEquals(200, Futures.await(harness.operator().put(next, FleetHarness.INITIAL.version(), 0)));
        InetAddress address = harness.fleet.dataMachine(0).address();
        ServerIdentity identity =
                new ServerIdentity("i-long", "long", "ost", ServerStage.NONE, address.getHostAddress() + ":" + PORT);
        RawServer server = new RawServer(address, PORT, identity.instanceId(), responseBytes, sendsLength, delayMs);
        harness.fleet.platform().add(identity);
        harness.awaitState("the long service", () -> isServed(harness));
        return server;
    }

    /** Returns the fleet's initial configuration with the service and its route added, under another version. */
    static FleetConfiguration configuration(long version) {
        List<RouteSpec> routes = new ArrayList<>(FleetHarness.INITIAL.routes());
        routes.add(ROUTE);
        List<ServiceSpec> services = new ArrayList<>(FleetHarness.INITIAL.services());
        services.add(ServiceSpec.plain("long"));
        return new FleetConfiguration(version, routes, services);
    }

    private static boolean isServed(FleetHarness harness) {
        try (RawClient client = new RawClient(harness.fleet.dataMachine(0).front())) {
            return client.post(ROUTE.host(), ROUTE.prefix() + "x", "probe", 1)
                    && client.read().status() == 200;
        } catch (IOException e) {
            return false;
        }
    }
}
