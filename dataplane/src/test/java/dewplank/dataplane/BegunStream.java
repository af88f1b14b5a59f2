package dewplank.dataplane;

import static dewplank.dataplane.ServerAnswers.beginStream;
import static dewplank.dataplane.ServerAnswers.event;
import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.exchange.ScriptedServer.Call;
import dewplank.exchange.Wire;
import java.io.IOException;

/**
 * A stream whose first event, with id 1, was received by the client.
 *
 * @param head the head of the client's response
 */
record BegunStream(Wire client, Call decode, Wire.Message head) {
    /** Sends the request and starts the stream; the next call received must be the decode server's. */
    static BegunStream begin(ForwarderFixture fixture, String target, String prompt) throws Exception {
        Wire client = fixture.sendRequest(target, prompt);
        return begin(fixture.nextCall(), client);
    }

    /** The decode server starts its stream, and the client receives the first event. */
    static BegunStream begin(Call decode, Wire client) throws IOException {
        beginStream(decode);
        decode.wire().chunk(event(1));
        Wire.Message head = client.readHead();
        assertEquals(200, head.status());
        assertEquals(event(1), client.readChunk());
        return new BegunStream(client, decode, head);
    }

    /** The server's end of the connection. */
    Wire server() {
        return decode.wire();
    }

    /** The server sends the event, and the client receives it. */
    void assertRelays(int eventId) throws IOException {
        server().chunk(event(eventId));
        assertEquals(event(eventId), client.readChunk());
    }

    /** The server ends the stream, and the client receives the end. */
    void assertEnds() throws IOException {
        server().lastChunk();
        assertEquals("", client.readChunk());
    }
}
