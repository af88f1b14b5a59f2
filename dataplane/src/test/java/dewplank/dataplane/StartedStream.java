package dewplank.dataplane;

import static dewplank.dataplane.ServerResponses.beginStream;
import static dewplank.dataplane.ServerResponses.event;
import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.exchange.ScriptedServer.Call;
import dewplank.exchange.TestPeer;
import java.io.IOException;

/**
 * A stream whose first event, with id 1, was received by the client.
 *
 * @param head the head of the client's response
 */
record StartedStream(TestPeer client, Call decode, TestPeer.Message head) {
    /** Sends the request and starts the stream; the next call received must be the decode server's. */
    static StartedStream start(ForwarderFixture fixture, String target, String prompt) throws Exception {
        TestPeer client = fixture.sendRequest(target, prompt);
        return start(fixture.nextCall(), client);
    }

    /** The decode server starts its stream, and the client receives the first event. */
    static StartedStream start(Call decode, TestPeer client) throws IOException {
        beginStream(decode);
        decode.peer().chunk(event(1));
        TestPeer.Message head = client.readHead();
        assertEquals(200, head.status());
        assertEquals(event(1), client.readChunk());
        return new StartedStream(client, decode, head);
    }

    /** The server's end of the connection. */
    TestPeer server() {
        return decode.peer();
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
