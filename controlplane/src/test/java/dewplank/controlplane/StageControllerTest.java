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

/** Reports and orders as model servers see them. */
class StageControllerTest {
    private static final String TARGET = "X-Dewplank-Target-Instance";
    private static final long NUMBER = 41;
    private static final double LEASE_MARGIN_MS = 700;

    private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();
    private final List<ScriptedServer> servers = new ArrayList<>();
    private final TestRole role = new TestRole();
    private EventLoop loop;
    private final BlockingQueue<EndpointList> published = new LinkedBlockingQueue<>();
    private EndpointPoller poller;
    private int active;

    /** A lease that is held from the first check on; it records when that was. */
    private final class TestRole implements SingletonRole {
        private double firstRequestedAt = Double.POSITIVE_INFINITY;

        @Override
        public synchronized boolean isLeaseHolder() {
            firstRequestedAt = Math.min(firstRequestedAt, loop.now());
            return true;
        }

        synchronized double since() {
            return firstRequestedAt;
        }

        @Override
        public long fencingToken() {
            return NUMBER;
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
        poller.receive(new EndpointList(new EndpointListVersion(NUMBER, 1), entries));
    }

    @AfterEach
    void end() throws IOException {
        loop.stop();
        for (ScriptedServer server : servers) {
            server.close();
        }
    }

    private void control(double leaseMs) {
        StageController controller = new StageController(
                loop, "core-1", leaseMs, poller, role, new HttpModelServerClient(loop), Policy.ALL_ENABLED);
        loop.execute(controller::start);
    }

    /** Answers reports as of servers with so many requests each, until something else comes. */
    private Call answerReports(int active) throws Exception {
        this.active = active;
        return answerReports();
    }

    /** Answers reports, each of which names the instance that it is meant for, until something else comes. */
    private Call answerReports() throws Exception {
        while (true) {
            Call call = ScriptedServer.next(calls);
            assertEquals("i-" + servers.indexOf(call.server()), call.message().header(TARGET));
            if (!call.message().method().equals("GET")) {
                return call;
            }
            assertEquals("/report", call.message().target());
            call.wire()
                    .answer(
                            "200 OK",
                            "Content-Type: application/json\r\n",
                            "{\"stage\":\"decode\",\"busy\":false,\"queued\":0,\"active\":" + active + ","
                                    + "\"kv_used\":0,\"kv_capacity\":1000}");
        }
    }

    @Test
    void anOrderNamesItsHolderItsTokenAndItsInstance() throws Exception {
        control(0);
        Call order = answerReports();
        assertEquals("POST", order.message().method());
        assertEquals("/order", order.message().target());
        Map<String, Object> body = Json.object(order.message().body());
        assertEquals("stage", body.get("operation"));
        assertEquals("prefill", body.get("stage"));
        assertEquals("core-1", body.get("holder"));
        assertEquals(NUMBER, body.get("fence_number"));
        assertNull(body.get("expected_count"));
        order.wire().answer("202 Accepted", "", "");
    }

    /** What has not begun at a server when the order comes is turned away: data planes hear of it before. */
    @Test
    void dataPlanesAreNotifiedBeforeABusyServerIsOrdered() throws Exception {
        control(0);
        Call order = answerReports(1);
        double lastOrderAt = loop.now();
        assertEquals("/order", order.message().target());
        EndpointList list = published.remove();
        int index = servers.indexOf(order.server());
        for (int i = 0; i < servers.size(); i++) {
            assertEquals(i == index ? Endpoint.CHANGING : "decode", list.endpoints.get(i).stage);
        }
        assertTrue(lastOrderAt - role.since() >= 500, "ordered after " + (lastOrderAt - role.since()) + " ms");
        order.wire().answer("409 Conflict", "", "");
    }

    /** An order of the last lease holder may still be in flight. */
    @Test
    void aNewLeaseHolderWaitsForTheLeaseAndAMargin() throws Exception {
        control(700);
        Call order = answerReports();
        double at = loop.now();
        assertEquals("POST", order.message().method());
        assertTrue(at - role.since() >= 700 + LEASE_MARGIN_MS, "ordered after " + (at - role.since()) + " ms");
    }

    /** A response of another instance that has the address by now is no report of the one that was queried. */
    @Test
    void noOrderFollowsFromAMisdirectedReport() throws Exception {
        control(0);
        for (int i = 0; i < 6; i++) {
            Call call = ScriptedServer.next(calls);
            assertEquals("/report", call.message().target());
            call.wire().answer("421 Misdirected Request", "", "{\"stage\":\"decode\"}");
        }
    }
}
