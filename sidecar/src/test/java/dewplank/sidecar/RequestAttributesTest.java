package dewplank.sidecar;

import static dewplank.sidecar.ResponseAssertions.assertStatus;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.Event.RequestArrived;
import dewplank.sidecar.LoopbackNetwork.Client;
import dewplank.sidecar.LoopbackNetwork.ReceivedRequest;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** The tenant, key and cost that the balancer gets for a request, read from its header fields. */
class RequestAttributesTest {
    private static final String TENANTS = "\"Accounts\":[{\"Name\":\"porto\",\"Share\":0.6,\"AllowancePerS\":9},"
            + "{\"Name\":\"praias\",\"Share\":0.4,\"AllowancePerS\":6}]";

    private final BlockingQueue<RequestArrived> arrived = new LinkedBlockingQueue<>();

    /** Returns the balancer's event for a request with these header fields, which the server gets unchanged. */
    private RequestArrived arrivalWith(String fields) throws Exception {
        try (LoopbackNetwork net = LoopbackNetwork.builder(1)
                .settings(settings -> settings.replace("\"Accounts\":[]", TENANTS))
                .balancer(balancer -> (now, event, out) -> {
                    if (event instanceof RequestArrived arrival) {
                        arrived.add(arrival);
                    }
                    balancer.handle(now, event, out);
                })
                .start()) {
            Client client = net.client();
            client.send(Client.request("menu-read", fields + "Content-Length: 0\r\n"));
            ReceivedRequest call = net.servers.get(0).next();
            for (String field : fields.split("\r\n")) {
                assertTrue(call.message().contains(field), call.message());
            }
            call.respond("200 OK", "");
            assertStatus("200", client.read());
            return arrived.take();
        }
    }

    @Test
    void tenantKeyAndCostArePassedToTheBalancer() throws Exception {
        RequestArrived arrival = arrivalWith(
                "X-Customer: porto\r\nCookie: session=1; k=7f3a=c2; lang=pt\r\nX-Props: Work=12.5,other=3\r\n");
        assertEquals("porto", arrival.tenant());
        assertEquals("7f3a=c2", arrival.key());
        assertEquals(12.5, arrival.costMs());
    }

    static Stream<String> invalidFields() {
        return Stream.of(
                "X-Customer: pesca\r\nCookie: kk=1; xk=2\r\nX-Props: Work=NaN\r\n",
                "X-Customer: porto\r\nX-Customer: praias\r\nCookie: k=1\r\nCookie: k=2\r\nX-Props: Work=1,Work=2\r\n",
                "X-Customer: \r\nCookie: k=a\u00e9b\r\nX-Props: Work=-1\r\n",
                "X-Customer: PORTO\r\nCookie: k=" + "x".repeat(8 * 1024) + "\r\nX-Props: ,=,Work\r\n",
                "Cookie: k=\r\nX-Props: Work=1e300\r\n");
    }

    @ParameterizedTest(name = "case {index}")
    @MethodSource("invalidFields")
    void ambiguousOrInvalidAttributesAreNull(String fields) throws Exception {
        RequestArrived arrival = arrivalWith(fields);
        assertNull(arrival.tenant(), fields);
        assertNull(arrival.key(), fields);
        assertNull(arrival.costMs(), fields);
    }

    @Test
    void aKeyThatIsRepeatedWithTheSameValueIsAccepted() throws Exception {
        assertEquals("k1", arrivalWith("Cookie: k=k1\r\nCookie: a=b; k=k1\r\n").key());
    }
}
