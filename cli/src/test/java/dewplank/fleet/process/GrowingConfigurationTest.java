package dewplank.fleet.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.emulator.fleet.ClientRequest;
import dewplank.emulator.fleet.FleetBounds;
import dewplank.emulator.fleet.FleetConfiguration;
import dewplank.emulator.fleet.Futures;
import dewplank.emulator.fleet.RouteSpec;
import dewplank.fleet.FleetHarness;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Review case 3: from some 9,400 routes on, changes were no longer acknowledged. */
class GrowingConfigurationTest {
    private static final int ROUTES_PER_CHANGE = 700;
    private static final int MAX_ROUTES = 11_200;
    /** What the operators add to the bound of an acknowledgement for each route. */
    private static final int ACK_MS_PER_ROUTE = 3;
    /** A control plane may write the same configuration in a slightly shorter text. */
    private static final double MIN_TEXT_FRACTION = 0.9;

    @Test
    void changesOfAGrowingConfigurationAreAcknowledgedInTime() throws Exception {
        FleetHarness.run(3, 1, harness -> {
            FleetConfiguration current = FleetHarness.INITIAL;
            while (current.routes().size() < MAX_ROUTES) {
                FleetConfiguration next = withMoreRoutes(current);
                long sentNanos = System.nanoTime();
                assertEquals(
                        200,
                        Futures.await(harness.operator().patch(next, current, 0)),
                        next.routes().size() + "");
                long elapsedMs = (System.nanoTime() - sentNanos) / 1_000_000;
                long boundMs = (long) FleetBounds.ACK_MS
                        + (long) ACK_MS_PER_ROUTE * next.routes().size();
                assertTrue(
                        elapsedMs <= boundMs,
                        elapsedMs + " ms for " + next.routes().size() + " routes");
                current = next;
            }
            int textBytes = current.json().toString().length();
            harness.awaitState(
                    "the configuration read back", () -> readBytes(harness) >= textBytes * MIN_TEXT_FRACTION);
            RouteSpec last = current.routes().get(current.routes().size() - 1);
            harness.awaitState("the last route", () -> Futures.await(harness.fleet
                            .client()
                            .send(harness.fleet.dataMachine(0), ClientRequest.plain(last, "last"))
                            .ended())
                    .served());
        });
    }

    /** Returns the size of the configuration that a control plane answers; 0 if it answers none. */
    private static long readBytes(FleetHarness harness) {
        try (RawClient client = new RawClient(harness.control(1).machine().control())) {
            client.send("GET /configuration HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            RawClient.Response response = client.read();
            return response.status() == 200 ? response.bodyBytes() : 0;
        } catch (IOException e) {
            return 0;
        }
    }

    private static FleetConfiguration withMoreRoutes(FleetConfiguration current) {
        List<RouteSpec> routes = new ArrayList<>(current.routes());
        for (int i = 0; i < ROUTES_PER_CHANGE; i++) {
            routes.add(RouteSpec.to("plain", "grown" + routes.size(), RouteSpec.Kind.SAFE));
        }
        return new FleetConfiguration(current.version() + 1, routes, current.services());
    }
}
