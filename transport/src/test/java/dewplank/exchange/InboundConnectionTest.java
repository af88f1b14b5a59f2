package dewplank.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.http.Headers;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests inbound connections with a plain socket as client; the tests send the responses. */
class InboundConnectionTest {
    private static final int MAX_BODY_BYTES = 100;

    private EventLoop loop;
    private Listener listener;
    private final ScriptedService service = new ScriptedService();
    private final BlockingQueue<InboundConnection> connections = new LinkedBlockingQueue<>();

    /** A request that the service has received, and the connection for its response. */
    private record HandledRequest(InboundConnection.Request request, InboundConnection connection) {
        String body() {
            return new String(request.body(), StandardCharsets.ISO_8859_1);
        }
    }

    private static final class ScriptedService implements InboundConnection.Service {
        private final BlockingQueue<HandledRequest> handled = new LinkedBlockingQueue<>();
        private final BlockingQueue<InboundConnection> disconnects = new LinkedBlockingQueue<>();
        private final BlockingQueue<InboundConnection> closed = new LinkedBlockingQueue<>();
        private volatile boolean closing;
        private volatile boolean throwsException;

        @Override
        public void handle(InboundConnection.Request request, InboundConnection connection) {
            handled.add(new HandledRequest(request, connection));
            if (throwsException) {
                throw new IllegalStateException("test failure");
            }
        }

        @Override
        public void clientDisconnected(InboundConnection connection) {
            disconnects.add(connection);
        }

        @Override
        public void connectionClosed(InboundConnection connection) {
            closed.add(connection);
        }

        @Override
        public boolean isClosing() {
            return closing;
        }

        @Override
        public int maxBodyBytes() {
            return MAX_BODY_BYTES;
        }

        void expectDisconnect(InboundConnection connection) throws InterruptedException {
            assertEquals(connection, disconnects.poll(TestPeer.TIMEOUT_S, TimeUnit.SECONDS));
        }

        void expectClose() throws InterruptedException {
            assertNotNull(closed.poll(TestPeer.TIMEOUT_S, TimeUnit.SECONDS));
        }

        HandledRequest next() throws InterruptedException {
            HandledRequest next = handled.poll(TestPeer.TIMEOUT_S, TimeUnit.SECONDS);
            assertNotNull(next, "no request was handled");
            return next;
        }
    }

    @BeforeEach
    void setUp() throws IOException {
        loop = new EventLoop();
        listener = new Listener(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 100, () -> {
            InboundConnection connection = new InboundConnection(loop, service);
            connections.add(connection);
            return connection;
        });
        loop.execute(listener::accept);
    }

    @AfterEach
    void tearDown() {
        loop.stop();
    }

    private TestPeer client() throws IOException {
        return TestPeer.to((InetSocketAddress) listener.address());
    }

    /** Connects a client that sends a request without a body. */
    private TestPeer clientWithRequest() throws IOException {
        TestPeer client = client();
        client.send(request("/", "", ""));
        return client;
    }

    /** Sends part of a request and returns the inbound connection that has received it. */
    private InboundConnection sendPartialRequest(TestPeer client) throws Exception {
        InboundConnection connection = accepted();
        client.send("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
        OnLoop.await(loop, connection::hasPartialRequest);
        return connection;
    }

    private InboundConnection accepted() throws InterruptedException {
        InboundConnection connection = connections.poll(TestPeer.TIMEOUT_S, TimeUnit.SECONDS);
        assertNotNull(connection, "no connection was accepted");
        return connection;
    }

    private static String request(String target, String fields, String body) {
        return "POST " + target + " HTTP/1.1\r\nHost: h\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n"
                + body;
    }

    private void respond(HandledRequest handled, int status, String body) throws Exception {
        OnLoop.run(loop, () -> handled.connection()
                .respond(status, List.of(new Headers.Field("Own", "x")), body.getBytes(StandardCharsets.ISO_8859_1)));
    }

    private void onLoop(HandledRequest handled, Consumer<InboundConnection> step) throws Exception {
        OnLoop.run(loop, () -> step.accept(handled.connection()));
    }

    private void beginResponse(HandledRequest handled) throws Exception {
        onLoop(handled, connection -> connection.startResponse(200, List.of()));
    }

    private void writePart(HandledRequest handled, String text) throws Exception {
        onLoop(handled, connection -> connection.writePart(bytes(text)));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    // ---- requests and responses -----------------------------------------------------------------------

    @Test
    void aCompleteRequestIsHandledAndItsResponseSent() throws Exception {
        TestPeer client = client();
        client.send("PUT /a/b?c=d HTTP/1.1\r\nHost: h\r\nX: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n");
        client.send("4\r\n two\r\n0\r\n\r\n");
        HandledRequest handled = service.next();
        assertEquals("PUT", handled.request().method());
        assertEquals("/a/b?c=d", handled.request().target());
        assertEquals("1", handled.request().headers().get("x"));
        assertEquals("one two", handled.body());
        assertTrue(OnLoop.get(loop, handled.connection()::isBusy));
        respond(handled, 200, "response");
        TestPeer.Message response = client.read();
        assertEquals("HTTP/1.1 200 OK", response.startLine());
        assertEquals("x", response.header("Own"));
        assertEquals("response", response.body());
        assertNull(response.header("Connection"));
        assertTrue(handled.connection().hasResponded());
        assertFalse(handled.connection().isBusy());
    }

    @Test
    void pipelinedRequestsAreHandledOneByOne() throws Exception {
        TestPeer client = client();
        client.send(request("/1", "", "a") + request("/2", "", "b") + request("/3", "", "c"));
        for (String number : List.of("1", "2", "3")) {
            HandledRequest handled = service.next();
            assertEquals("/" + number, handled.request().target());
            OnLoop.run(loop, () -> {});
            assertTrue(service.handled.isEmpty(), "the next request waits for the response to this one");
            respond(handled, 200, number);
            assertEquals(number, client.read().body());
        }
    }

    /** For a client, the response to a HEAD ends with its head: a body would be read as the next response. */
    @Test
    void theResponseToAHeadRequestHasNoBodyAndTheNextResponseFollows() throws Exception {
        TestPeer client = client();
        client.send("HEAD /1 HTTP/1.1\r\nHost: h\r\n\r\n" + request("/2", "", ""));
        respond(service.next(), 200, "not for a HEAD");
        assertEquals(200, client.readHead().status());
        respond(service.next(), 201, "own");
        TestPeer.Message next = client.read();
        assertEquals(201, next.status());
        assertEquals("own", next.body());
    }

    @Test
    void aStreamedResponseToAHeadRequestHasNoBody() throws Exception {
        TestPeer client = client();
        client.send("HEAD /1 HTTP/1.1\r\nHost: h\r\n\r\n" + request("/2", "", ""));
        HandledRequest handled = service.next();
        onLoop(handled, connection -> {
            connection.startResponse(200, List.of());
            connection.writePart(bytes("event"));
            connection.endResponse();
        });
        TestPeer.Message head = client.readHead();
        assertEquals(200, head.status());
        assertNull(head.header("Transfer-Encoding"));
        respond(service.next(), 201, "own");
        assertEquals(201, client.read().status());
    }

    /** Such a response has no Content-Length (RFC 9110, section 8.6). */
    @Test
    void aResponseWithStatus204EndsWithItsHead() throws Exception {
        TestPeer client = client();
        client.send(request("/1", "", "") + request("/2", "", ""));
        respond(service.next(), 204, "");
        TestPeer.Message empty = client.read();
        assertEquals(204, empty.status());
        assertNull(empty.header("Content-Length"));
        respond(service.next(), 200, "own");
        assertEquals("own", client.read().body());
    }

    @Test
    void expect100ContinueReceivesOneInterimResponse() throws Exception {
        TestPeer client = client();
        client.send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
        assertEquals(100, client.readHead().status());
        client.send("ab");
        client.send("cd");
        HandledRequest handled = service.next();
        assertEquals("abcd", handled.body());
        respond(handled, 200, "");
        assertEquals(200, client.read().status());
    }

    @Test
    void aRequestWithConnectionCloseIsTheLastOfItsConnection() throws Exception {
        for (String fields : List.of("Connection: close\r\n", "Connection: Close, x\r\n")) {
            TestPeer client = client();
            client.send(request("/", fields, "") + request("/ahead", "", ""));
            respond(service.next(), 200, "1");
            TestPeer.Message response = client.read();
            assertEquals("close", response.header("Connection"));
            assertNull(client.read());
            service.expectClose();
        }
        assertTrue(service.handled.isEmpty(), "the request after it is ignored");
    }

    @Test
    void aResponseOfAClosingServiceIsTheLastOfItsConnection() throws Exception {
        TestPeer client = clientWithRequest();
        HandledRequest handled = service.next();
        service.closing = true;
        respond(handled, 200, "1");
        assertEquals("close", client.read().header("Connection"));
        assertNull(client.read());
    }

    @Test
    void anExceptionInTheServiceIsReportedAs500() throws Exception {
        service.throwsException = true;
        TestPeer client = clientWithRequest();
        assertEquals(500, client.read().status());
        assertNull(client.read());
        assertNotNull(service.disconnects.poll(TestPeer.TIMEOUT_S, TimeUnit.SECONDS));
    }

    // ---- malformed, oversized and timed-out requests --------------------------------------------------

    @Test
    void aBodyOverMaxBodyBytesIsRejectedWith413AndItsConnectionClosed() throws Exception {
        String tooLong = "x".repeat(MAX_BODY_BYTES + 1);
        for (String message : List.of(
                request("/", "", tooLong),
                request("/", "Expect: 100-continue\r\n", tooLong).replace(tooLong, ""),
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(MAX_BODY_BYTES) + "\r\n"
                        + "x".repeat(MAX_BODY_BYTES) + "\r\n1\r\nx\r\n0\r\n\r\n")) {
            TestPeer client = client();
            client.send(message);
            assertEquals(413, client.read().status());
            assertNull(client.read());
        }
        assertTrue(service.handled.isEmpty());
        TestPeer client = client();
        client.send(request("/", "", "x".repeat(MAX_BODY_BYTES)));
        assertEquals(MAX_BODY_BYTES, service.next().body().length());
    }

    @Test
    void aMalformedRequestIsRejectedWith400AndItsConnectionClosed() throws Exception {
        for (String message : List.of(
                "what?\r\n\r\n",
                "GET http://h/ HTTP/1.1\r\n\r\n",
                "GET / HTTP/1.1\r\nA b: c\r\n\r\n",
                "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
                "POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\nx",
                "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy")) {
            TestPeer client = client();
            client.send(message + request("/smuggled", "", ""));
            assertEquals(400, client.read().status(), message);
            assertNull(client.read());
        }
        assertTrue(service.handled.isEmpty(), "bytes after a malformed request are ignored");
        assertTrue(service.disconnects.isEmpty(), "no request was passed to the service");
    }

    /** The bytes after a request are malformed: the response to the request is sent completely before the 400. */
    @Test
    void malformedBytesAfterARequestCloseTheConnectionAfterItsResponse() throws Exception {
        TestPeer client = client();
        client.send(request("/", "", "") + "what?\r\n\r\n");
        respond(service.next(), 200, "own");
        assertEquals("own", client.read().body());
        assertEquals(400, client.read().status());
        assertNull(client.read());
        assertTrue(service.disconnects.isEmpty());
    }

    @Test
    void aPartialRequestThatTimesOutIsRejectedWith408() throws Exception {
        TestPeer client = client();
        InboundConnection connection = sendPartialRequest(client);
        OnLoop.run(loop, connection::timeOut);
        assertEquals(408, client.read().status());
        assertNull(client.read());
        assertTrue(service.handled.isEmpty());
    }

    @Test
    void anIdleConnectionThatTimesOutIsClosedWithoutAResponse() throws Exception {
        TestPeer client = client();
        InboundConnection connection = accepted();
        OnLoop.run(loop, connection::timeOut);
        assertNull(client.read());
        service.expectClose();
    }

    @Test
    void theIdleTimeoutStartsAtTheLastResponse() throws Exception {
        TestPeer client = client();
        InboundConnection connection = accepted();
        OnLoop.run(loop, () -> connection.timeOutAfter(60_000));
        client.send(request("/", "", ""));
        HandledRequest handled = service.next();
        OnLoop.waitMs(loop, 20);
        onLoop(handled, busy -> busy.timeOutAfter(0));
        respond(handled, 200, "still served");
        assertEquals("still served", client.read().body());
        OnLoop.waitMs(loop, 20);
        OnLoop.run(loop, () -> connection.timeOutAfter(10));
        assertNull(client.read());
        service.expectClose();
    }

    // ---- disconnects ---------------------------------------------------------------------------------

    @Test
    void aDisconnectBeforeTheResponseIsReportedOnce() throws Exception {
        TestPeer client = clientWithRequest();
        HandledRequest handled = service.next();
        client.close();
        service.expectDisconnect(handled.connection());
        service.expectClose();
        respond(handled, 200, "too late"); // has no effect
        beginResponse(handled);
        writePart(handled, "too late");
        onLoop(handled, InboundConnection::endResponse);
        assertTrue(service.disconnects.isEmpty());
    }

    @Test
    void aDisconnectDuringTheResponseIsReported() throws Exception {
        TestPeer client = clientWithRequest();
        HandledRequest handled = service.next();
        beginResponse(handled);
        writePart(handled, "one");
        client.readHead();
        assertEquals("one", client.readChunk());
        client.reset();
        service.expectDisconnect(handled.connection());
    }

    /** The client closes immediately after its request. */
    @Test
    void aRequestOfADisconnectedClientIsNotHandled() throws Exception {
        TestPeer client = client();
        InboundConnection connection = accepted();
        OnLoop.run(loop, () -> {
            client.send(request("/", "", ""));
            client.close();
        });
        OnLoop.await(loop, connection::isClosed);
        OnLoop.run(loop, () -> {});
        OnLoop.run(loop, () -> {});
        assertTrue(service.handled.isEmpty());
        assertTrue(service.disconnects.isEmpty());
        service.expectClose();
    }

    @Test
    void aDisconnectAfterPipelinedRequestsIsReported() throws Exception {
        TestPeer client = client();
        client.send(request("/1", "", "") + request("/2", "", "x".repeat(50)) + request("/3", "", ""));
        HandledRequest handled = service.next();
        client.close();
        service.expectDisconnect(handled.connection());
        OnLoop.run(loop, () -> {});
        assertTrue(service.handled.isEmpty());
    }

    @Test
    void aDisconnectDuringARequestOnlyClosesTheConnection() throws Exception {
        TestPeer client = client();
        sendPartialRequest(client);
        client.close();
        service.expectClose();
        assertTrue(service.disconnects.isEmpty());
        assertTrue(service.handled.isEmpty());
    }

    @Test
    void readAheadOverTheLimitFailsTheRequest() throws Exception {
        TestPeer client = clientWithRequest();
        HandledRequest handled = service.next();
        client.send("x".repeat(80 * 1024));
        assertEquals(400, client.read().status());
        service.expectDisconnect(handled.connection());
    }

    /** The read-ahead limit is exceeded after the request was parsed and before it is handled. */
    @Test
    void aRequestRejectedForReadAheadIsNotHandled() throws Exception {
        TestPeer client = client();
        InboundConnection connection = accepted();
        OnLoop.run(loop, () -> {
            connection.received(ByteBuffer.wrap(bytes(request("/", "", ""))));
            connection.readAheadExceeded();
        });
        assertEquals(400, client.read().status());
        OnLoop.run(loop, () -> {});
        OnLoop.run(loop, () -> {});
        assertTrue(service.handled.isEmpty(), "a request that was rejected must not run");
    }

    // ---- streamed responses ---------------------------------------------------------------------------

    @Test
    void aStreamIsFollowedByThePipelinedRequest() throws Exception {
        TestPeer client = client();
        client.send(request("/1", "", "") + request("/2", "", ""));
        HandledRequest handled = service.next();
        onLoop(handled, connection -> connection.startResponse(200, List.of(new Headers.Field("Own", "x"))));
        TestPeer.Message head = client.readHead();
        assertEquals("chunked", head.header("Transfer-Encoding"));
        assertNull(head.header("Content-Length"));
        assertEquals("x", head.header("Own"));
        writePart(handled, "one");
        assertEquals("one", client.readChunk());
        writePart(handled, ""); // must not be sent as the last chunk
        writePart(handled, "two".repeat(10));
        assertEquals("two".repeat(10), client.readChunk());
        assertTrue(service.handled.isEmpty());
        onLoop(handled, InboundConnection::endResponse);
        assertEquals("", client.readChunk());
        HandledRequest next = service.next();
        assertEquals("/2", next.request().target());
        respond(next, 200, "plain");
        assertEquals("plain", client.read().body());
    }

    @Test
    void aStreamWithConnectionCloseIsTheLastOfItsConnection() throws Exception {
        TestPeer client = client();
        client.send(request("/", "Connection: close\r\n", ""));
        HandledRequest handled = service.next();
        beginResponse(handled);
        assertEquals("close", client.readHead().header("Connection"));
        writePart(handled, "one");
        onLoop(handled, InboundConnection::endResponse);
        assertEquals("one", client.readChunk());
        assertEquals("", client.readChunk());
        assertNull(client.read());
    }

    /** The head was sent without Connection: close before the service started to close. */
    @Test
    void aStreamThatBeganBeforeTheServiceClosesKeepsItsConnection() throws Exception {
        TestPeer client = client();
        client.send(request("/1", "", ""));
        HandledRequest handled = service.next();
        beginResponse(handled);
        assertNull(client.readHead().header("Connection"));
        service.closing = true;
        onLoop(handled, InboundConnection::endResponse);
        assertEquals("", client.readChunk());
        client.send(request("/2", "", ""));
        respond(service.next(), 200, "");
        assertEquals("close", client.read().header("Connection"));
    }

    @Test
    void anAbortedResponseIsNeverComplete() throws Exception {
        TestPeer client = client();
        client.send(request("/1", "", "") + request("/2", "", ""));
        HandledRequest handled = service.next();
        onLoop(handled, connection -> {
            connection.startResponse(200, List.of());
            connection.writePart(bytes("one"));
        });
        client.readHead();
        assertEquals("one", client.readChunk());
        onLoop(handled, InboundConnection::abort);
        boolean truncated = false;
        try {
            client.readChunk();
        } catch (EOFException | SocketException e) {
            truncated = true;
        }
        assertTrue(truncated);
        service.expectClose();
        OnLoop.run(loop, () -> {});
        assertTrue(service.handled.isEmpty(), "a pipelined request is not handled after an abort");
        assertTrue(service.disconnects.isEmpty(), "the service aborted the response itself");
    }

    /** All calls are made in one task: the chunks are not written yet when the connection is aborted. */
    @Test
    void aResponseAbortedImmediatelyIsNeverComplete() throws Exception {
        TestPeer client = clientWithRequest();
        HandledRequest handled = service.next();
        onLoop(handled, connection -> {
            connection.startResponse(200, List.of());
            connection.writePart(bytes("one"));
            connection.abort();
            connection.writePart(bytes("two"));
            connection.endResponse();
        });
        assertFalse(client.readToEnd().endsWith("0\r\n\r\n"));
    }

    @Test
    void readAheadOverTheLimitAbortsAStream() throws Exception {
        TestPeer client = clientWithRequest();
        HandledRequest handled = service.next();
        beginResponse(handled);
        client.send("x".repeat(80 * 1024));
        service.expectDisconnect(handled.connection());
        String all = client.readToEnd();
        assertFalse(all.endsWith("0\r\n\r\n"));
        assertEquals(all.lastIndexOf("HTTP/1.1 "), all.indexOf("HTTP/1.1 "), "no second status line");
    }

    // ---- closing -------------------------------------------------------------------------------------

    @Test
    void anIdleConnectionIsClosedWithoutAResponse() throws Exception {
        TestPeer client = clientWithRequest();
        HandledRequest handled = service.next();
        onLoop(handled, connection -> connection.closeIfIdle(true)); // not closed, as a request is in progress
        respond(handled, 200, "");
        assertEquals(200, client.read().status());
        onLoop(handled, connection -> connection.closeIfIdle(false));
        assertNull(client.read());
    }

    /** The request is not read yet when its connection is closed: it is not handled, and no reset is sent. */
    @Test
    void aRequestReceivedWhileItsConnectionClosesIsNotHandled() throws Exception {
        TestPeer client = client();
        InboundConnection connection = accepted();
        OnLoop.run(loop, () -> {
            client.send(request("/", "", ""));
            connection.closeIfIdle(false);
        });
        assertNull(client.read());
        OnLoop.run(loop, () -> {});
        assertTrue(service.handled.isEmpty());
    }

    @Test
    void aConnectionWithAPartialRequestIsClosedOnlyIfPartialRequestsAreIncluded() throws Exception {
        TestPeer client = client();
        InboundConnection connection = sendPartialRequest(client);
        OnLoop.run(loop, () -> connection.closeIfIdle(false));
        assertFalse(connection.isClosed());
        client.send("cd");
        respond(service.next(), 200, "complete");
        assertEquals("complete", client.read().body());
        client.send("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
        OnLoop.await(loop, connection::hasPartialRequest);
        OnLoop.run(loop, () -> connection.closeIfIdle(true));
        client.send("cd");
        assertNull(client.read());
        assertTrue(service.handled.isEmpty());
    }
}
