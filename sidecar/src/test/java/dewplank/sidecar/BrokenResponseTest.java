package dewplank.sidecar;

import static dewplank.sidecar.ResponseAssertions.assertStatus;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.exchange.MalformedResponse;
import dewplank.sidecar.LoopbackNetwork.Client;
import dewplank.sidecar.LoopbackNetwork.ReceivedRequest;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Responses of servers that are malformed or end early: clients never receive them as responses. */
class BrokenResponseTest {
    @ParameterizedTest
    @EnumSource(MalformedResponse.class)
    void aMalformedResponseToAnOrderIsNotRelayed(MalformedResponse malformed) throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client client = net.client();
            client.sendRequest("order-place");
            net.servers.get(0).nextRequest().connection().send(malformed.withFields(""));
            assertStatus("502", client.read());
        }
    }

    @ParameterizedTest
    @EnumSource(MalformedResponse.class)
    void aReadIsRetriedAfterAMalformedResponse(MalformedResponse malformed) throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client client = net.client();
            client.sendRequest("menu-read");
            net.servers.get(0).nextRequest().connection().send(malformed.withFields(""));
            net.servers.get(0).nextRequest().respond("200 OK", "sound");
            assertTrue(client.read().endsWith("\r\n\r\nsound"));
        }
    }

    @ParameterizedTest
    @MethodSource("dewplank.exchange.PartialResponses#all")
    void aPartOfAResponseToAnOrderIsNotRelayed(String part) throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client client = net.client();
            client.sendRequest("order-place");
            ReceivedRequest request = net.servers.get(0).nextRequest();
            request.connection().send(part);
            request.connection().socket.close();
            assertStatus("502", client.read());
        }
    }
}
