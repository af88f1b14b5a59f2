package dewplank.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.exchange.ScriptedServer;
import dewplank.exchange.ScriptedServer.Call;
import dewplank.message.Endpoint;
import dewplank.message.EndpointList;
import dewplank.message.EndpointListVersion;
import dewplank.net.EventLoop;
import dewplank.routing.Policy;
import dewplank.settings.Json;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the report requests and orders that model servers receive. */
class StageControllerTest {
    private static final String TARGET_INSTANCE = "X-Dewplank-Target-Instance";
    private static final long FENCING_TOKEN = 41;
    private static final double LEASE_MARGIN_MS = 700;

    private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();
    private final List<ScriptedServer> servers = new ArrayList<>();
    private final TestRole role = new TestRole();
    private EventLoop loop;
    private final BlockingQueue<EndpointList> published = new LinkedBlockingQueue<>();
    private EndpointPoller poller;
    private int active;

    /** A role whose lease is always held; it records the time of the first check. */
    private final class TestRole implements SingletonRole {
        private double firstCheckedAt = Double.POSITIVE_INFINITY;

        @Override
        public synchronized boolean isLeaseHolder() {
            firstCheckedAt = Math.min(firstCheckedAt, loop.now());
            return true;
        }

        synchronized double firstCheckedAt() {
            return firstCheckedAt;
        }

        @Override
        public long fencingToken() {
            return FENCING_TOKEN;
        }
    }

    @BeforeEach
    void begin() throws IOException {
        loop = new EventLoop();
        poller = new EndpointPoller(loop, null, role, 3_000, published::add);
        List<Endpoint> entries = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            ScriptedServer server = new ScriptedServer(calls);
            servers.add(server);
            entries.add(new Endpoint("i-" + i, "model", server.addressText(), "z", 64, false, 0, "decode"));
        }
        poller.receive(new EndpointList(new EndpointListVersion(FENCING_TOKEN, 1), entries));
    }

    @AfterEach
    void end() throws IOException {
        loop.stop();
        for (ScriptedServer server : servers) {
            server.close();
        }
    }

    private void startController(double leaseMs) {
        StageController controller = new StageController(
                loop, "core-1", leaseMs, poller, role, new HttpModelServerClient(loop), Policy.ALL_ENABLED);
        loop.execute(controller::start);
    }

    /** Responds to report requests with {@code active} requests per server, until another request arrives. */
    private Call respondToReports(int active) throws Exception {
        this.active = active;
        return respondToReports();
    }

    /**
     * Responds to report requests until another request arrives. Checks that each request contains the instance id of
     * the server that receives it.
     */
    private Call respondToReports() throws Exception {
        while (true) {
            Call call = ScriptedServer.next(calls);
            assertEquals("i-" + servers.indexOf(call.server()), call.message().header(TARGET_INSTANCE));
            if (!call.message().method().equals("GET")) {
                return call;
            }
            assertEquals("/report", call.message().target());
            call.peer()
                    .respond(
                            "200 OK",
                            "Content-Type: application/json\r\n",
                            "{\"stage\":\"decode\",\"busy\":false,\"queued\":0,\"active\":" + active + ","
                                    + "\"kv_used\":0,\"kv_capacity\":1000}");
        }
    }

    @Test
    void anOrderContainsTheLeaseHolderTheTokenAndTheInstance() throws Exception {
        startController(0);
        Call order = respondToReports();
        assertEquals("POST", order.message().method());
        assertEquals("/order", order.message().target());
        Map<String, Object> body = Json.object(order.message().body());
        assertEquals("stage", body.get("operation"));
        assertEquals("prefill", body.get("stage"));
        assertEquals("core-1", body.get("holder"));
        assertEquals(FENCING_TOKEN, body.get("fence_number"));
        assertNull(body.get("expected_count"));
        order.peer().respond("202 Accepted", "", "");
    }

    /** A server rejects requests that have not begun when the order arrives, so data planes are notified before. */
    @Test
    void dataPlanesAreNotifiedBeforeABusyServerIsOrdered() throws Exception {
        startController(0);
        Call order = respondToReports(1);
        double orderedAt = loop.now();
        assertEquals("/order", order.message().target());
        EndpointList list = published.remove();
        int index = servers.indexOf(order.server());
        for (int i = 0; i < servers.size(); i++) {
            assertEquals(i == index ? Endpoint.CHANGING : "decode", list.endpoints.get(i).stage);
        }
        assertTrue(
                orderedAt - role.firstCheckedAt() >= 500,
                "ordered after " + (orderedAt - role.firstCheckedAt()) + " ms");
        order.peer().respond("409 Conflict", "", "");
    }

    /** An order of the previous lease holder may still be in flight. */
    @Test
    void aNewLeaseHolderSendsNoOrderForALeaseAndAMargin() throws Exception {
        startController(700);
        Call order = respondToReports();
        double orderedAt = loop.now();
        assertEquals("POST", order.message().method());
        assertTrue(
                orderedAt - role.firstCheckedAt() >= 700 + LEASE_MARGIN_MS,
                "ordered after " + (orderedAt - role.firstCheckedAt()) + " ms");
    }

    /** A response of another instance that now has the address is not a report of the one that was queried. */
    @Test
    void aMisdirectedReportIsNotUsedForOrders() throws Exception {
        startController(0);
        for (int i = 0; i < 6; i++) {
            Call call = ScriptedServer.next(calls);
            assertEquals("/report", call.message().target());
            call.peer().respond("421 Misdirected Request", "", "{\"stage\":\"decode\"}");
        }
    }
}
