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

/** Inbound connections: the caller is a plain socket, and the test answers the requests. */
class InboundConnectionTest {
    private static final int MAX_BODY_BYTES = 100;

    private EventLoop loop;
    private Listener listener;
    private final ScriptedService service = new ScriptedService();
    private final BlockingQueue<InboundConnection> connections = new LinkedBlockingQueue<>();

    /** A request that the service has got, and the connection that its answer goes to. */
    private record HandledRequest(InboundConnection.Request request, InboundConnection connection) {
        String body() {
            return new String(request.body(), StandardCharsets.ISO_8859_1);
        }
    }

    private static final class ScriptedService implements InboundConnection.Service {
        private final BlockingQueue<HandledRequest> handled = new LinkedBlockingQueue<>();
        private final BlockingQueue<InboundConnection> disconnected = new LinkedBlockingQueue<>();
        private final BlockingQueue<InboundConnection> closed = new LinkedBlockingQueue<>();
        private volatile boolean closing;
        private volatile boolean fails;

        @Override
        public void handle(InboundConnection.Request request, InboundConnection connection) {
            handled.add(new HandledRequest(request, connection));
            if (fails) {
                throw new IllegalStateException("as scripted");
            }
        }

        @Override
        public void callerGone(InboundConnection connection) {
            disconnected.add(connection);
        }

        @Override
        public void connectionEnded(InboundConnection connection) {
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
            assertEquals(connection, disconnected.poll(Wire.PATIENCE_S, TimeUnit.SECONDS));
        }

        void expectClose() throws InterruptedException {
            assertNotNull(closed.poll(Wire.PATIENCE_S, TimeUnit.SECONDS));
        }

        HandledRequest next() throws InterruptedException {
            HandledRequest next = handled.poll(Wire.PATIENCE_S, TimeUnit.SECONDS);
            assertNotNull(next, "no request was handled");
            return next;
        }
    }

    @BeforeEach
    void begin() throws IOException {
        loop = new EventLoop();
        listener = new Listener(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 100, () -> {
            InboundConnection connection = new InboundConnection(loop, service);
            connections.add(connection);
            return connection;
        });
        loop.execute(listener::accept);
    }

    @AfterEach
    void end() {
        loop.stop();
    }

    private Wire caller() throws IOException {
        return Wire.to((InetSocketAddress) listener.address());
    }

    /** A caller that has sent a request without a body. */
    private Wire callerWithRequest() throws IOException {
        Wire caller = caller();
        caller.send(request("/", "", ""));
        return caller;
    }

    /** A connection of a caller that has sent a part of a request. */
    private InboundConnection sendPartialRequest(Wire caller) throws Exception {
        InboundConnection connection = accepted();
        caller.send("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
        OnLoop.await(loop, connection::isHalfRead);
        return connection;
    }

    private InboundConnection accepted() throws InterruptedException {
        InboundConnection connection = connections.poll(Wire.PATIENCE_S, TimeUnit.SECONDS);
        assertNotNull(connection, "no connection was accepted");
        return connection;
    }

    private static String request(String target, String fields, String body) {
        return "POST " + target + " HTTP/1.1\r\nHost: h\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n"
                + body;
    }

    private void answer(HandledRequest handled, int status, String body) throws Exception {
        OnLoop.run(loop, () -> handled.connection()
                .answer(status, List.of(new Headers.Field("Own", "x")), body.getBytes(StandardCharsets.ISO_8859_1)));
    }

    private void onLoop(HandledRequest handled, Consumer<InboundConnection> step) throws Exception {
        OnLoop.run(loop, () -> step.accept(handled.connection()));
    }

    private void beginAnswer(HandledRequest handled) throws Exception {
        onLoop(handled, connection -> connection.beginAnswer(200, List.of()));
    }

    private void writePart(HandledRequest handled, String text) throws Exception {
        onLoop(handled, connection -> connection.writePart(bytes(text)));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    // ---- requests and answers -------------------------------------------------------------------------

    @Test
    void aCompleteRequestIsHandledAndAnswered() throws Exception {
        Wire caller = caller();
        caller.send("PUT /a/b?c=d HTTP/1.1\r\nHost: h\r\nX: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n");
        caller.send("4\r\n two\r\n0\r\n\r\n");
        HandledRequest handled = service.next();
        assertEquals("PUT", handled.request().method());
        assertEquals("/a/b?c=d", handled.request().target());
        assertEquals("1", handled.request().headers().get("x"));
        assertEquals("one two", handled.body());
        assertTrue(OnLoop.get(loop, handled.connection()::isBusy));
        answer(handled, 200, "answer");
        Wire.Message answer = caller.read();
        assertEquals("HTTP/1.1 200 OK", answer.startLine());
        assertEquals("x", answer.header("Own"));
        assertEquals("answer", answer.body());
        assertNull(answer.header("Connection"));
        assertTrue(handled.connection().hasAnswered());
        assertFalse(handled.connection().isBusy());
    }

    @Test
    void pipelinedRequestsAreHandledOneByOne() throws Exception {
        Wire caller = caller();
        caller.send(request("/1", "", "a") + request("/2", "", "b") + request("/3", "", "c"));
        for (String number : List.of("1", "2", "3")) {
            HandledRequest handled = service.next();
            assertEquals("/" + number, handled.request().target());
            OnLoop.run(loop, () -> {});
            assertTrue(service.handled.isEmpty(), "the next one waits for this one's answer");
            answer(handled, 200, number);
            assertEquals(number, caller.read().body());
        }
    }

    /** A caller takes the answer to a HEAD to end with its head: a body would be read as its next answer. */
    @Test
    void theAnswerToAHeadRequestHasNoBodyAndTheNextAnswerFollows() throws Exception {
        Wire caller = caller();
        caller.send("HEAD /1 HTTP/1.1\r\nHost: h\r\n\r\n" + request("/2", "", ""));
        answer(service.next(), 200, "not for a HEAD");
        assertEquals(200, caller.readHead().status());
        answer(service.next(), 201, "own");
        Wire.Message next = caller.read();
        assertEquals(201, next.status());
        assertEquals("own", next.body());
    }

    @Test
    void aStreamedAnswerToAHeadRequestHasNoBody() throws Exception {
        Wire caller = caller();
        caller.send("HEAD /1 HTTP/1.1\r\nHost: h\r\n\r\n" + request("/2", "", ""));
        HandledRequest handled = service.next();
        onLoop(handled, connection -> {
            connection.beginAnswer(200, List.of());
            connection.writePart(bytes("event"));
            connection.endAnswer();
        });
        Wire.Message head = caller.readHead();
        assertEquals(200, head.status());
        assertNull(head.header("Transfer-Encoding"));
        answer(service.next(), 201, "own");
        assertEquals(201, caller.read().status());
    }

    /** RFC 9110, 8.6: such an answer has no length. */
    @Test
    void anAnswerWithoutContentEndsWithItsHead() throws Exception {
        Wire caller = caller();
        caller.send(request("/1", "", "") + request("/2", "", ""));
        answer(service.next(), 204, "");
        Wire.Message empty = caller.read();
        assertEquals(204, empty.status());
        assertNull(empty.header("Content-Length"));
        answer(service.next(), 200, "own");
        assertEquals("own", caller.read().body());
    }

    @Test
    void expect100ContinueIsAnsweredOnce() throws Exception {
        Wire caller = caller();
        caller.send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
        assertEquals(100, caller.readHead().status());
        caller.send("ab");
        caller.send("cd");
        HandledRequest handled = service.next();
        assertEquals("abcd", handled.body());
        answer(handled, 200, "");
        assertEquals(200, caller.read().status());
    }

    @Test
    void aRequestWithConnectionCloseIsTheLastOfItsConnection() throws Exception {
        for (String fields : List.of("Connection: close\r\n", "Connection: Close, x\r\n")) {
            Wire caller = caller();
            caller.send(request("/", fields, "") + request("/ahead", "", ""));
            answer(service.next(), 200, "1");
            Wire.Message answer = caller.read();
            assertEquals("close", answer.header("Connection"));
            assertNull(caller.read());
            service.expectClose();
        }
        assertTrue(service.handled.isEmpty(), "what follows is not looked at");
    }

    @Test
    void aClosingServicesAnswerIsTheLastOfItsConnection() throws Exception {
        Wire caller = callerWithRequest();
        HandledRequest handled = service.next();
        service.closing = true;
        answer(handled, 200, "1");
        assertEquals("close", caller.read().header("Connection"));
        assertNull(caller.read());
    }

    @Test
    void aServiceThatThrowsIsAnswered500() throws Exception {
        service.fails = true;
        Wire caller = callerWithRequest();
        assertEquals(500, caller.read().status());
        assertNull(caller.read());
        assertNotNull(service.disconnected.poll(Wire.PATIENCE_S, TimeUnit.SECONDS));
    }

    // ---- malformed and too long -----------------------------------------------------------------------

    @Test
    void aBodyOverMaxBodyBytesIsAnswered413AndItsConnectionClosed() throws Exception {
        String tooLong = "x".repeat(MAX_BODY_BYTES + 1);
        for (String message : List.of(
                request("/", "", tooLong),
                request("/", "Expect: 100-continue\r\n", tooLong).replace(tooLong, ""),
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(MAX_BODY_BYTES) + "\r\n"
                        + "x".repeat(MAX_BODY_BYTES) + "\r\n1\r\nx\r\n0\r\n\r\n")) {
            Wire caller = caller();
            caller.send(message);
            assertEquals(413, caller.read().status());
            assertNull(caller.read());
        }
        assertTrue(service.handled.isEmpty());
        Wire caller = caller();
        caller.send(request("/", "", "x".repeat(MAX_BODY_BYTES)));
        assertEquals(MAX_BODY_BYTES, service.next().body().length());
    }

    @Test
    void aMalformedRequestIsAnswered400AndItsConnectionClosed() throws Exception {
        for (String message : List.of(
                "what?\r\n\r\n",
                "GET http://h/ HTTP/1.1\r\n\r\n",
                "GET / HTTP/1.1\r\nA b: c\r\n\r\n",
                "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
                "POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\nx",
                "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy")) {
            Wire caller = caller();
            caller.send(message + request("/smuggled", "", ""));
            assertEquals(400, caller.read().status(), message);
            assertNull(caller.read());
        }
        assertTrue(service.handled.isEmpty(), "nothing is read behind what can't be read");
        assertTrue(service.disconnected.isEmpty(), "nothing was handed over");
    }

    /** The bytes behind a request are malformed: its answer is sent before, complete. */
    @Test
    void malformedBytesBehindARequestCloseTheConnectionAfterItsAnswer() throws Exception {
        Wire caller = caller();
        caller.send(request("/", "", "") + "what?\r\n\r\n");
        answer(service.next(), 200, "own");
        assertEquals("own", caller.read().body());
        assertEquals(400, caller.read().status());
        assertNull(caller.read());
        assertTrue(service.disconnected.isEmpty());
    }

    @Test
    void aPartialRequestThatTimesOutIsAnswered408() throws Exception {
        Wire caller = caller();
        InboundConnection connection = sendPartialRequest(caller);
        OnLoop.run(loop, connection::timeOut);
        assertEquals(408, caller.read().status());
        assertNull(caller.read());
        assertTrue(service.handled.isEmpty());
    }

    @Test
    void anIdleConnectionThatTimesOutIsClosedWithoutAnAnswer() throws Exception {
        Wire caller = caller();
        InboundConnection connection = accepted();
        OnLoop.run(loop, connection::timeOut);
        assertNull(caller.read());
        service.expectClose();
    }

    @Test
    void theIdleTimeoutCountsFromTheLastAnswer() throws Exception {
        Wire caller = caller();
        InboundConnection connection = accepted();
        OnLoop.run(loop, () -> connection.timeOutAfter(60_000));
        caller.send(request("/", "", ""));
        HandledRequest handled = service.next();
        OnLoop.pass(loop, 20);
        onLoop(handled, busy -> busy.timeOutAfter(0));
        answer(handled, 200, "still served");
        assertEquals("still served", caller.read().body());
        OnLoop.pass(loop, 20);
        OnLoop.run(loop, () -> connection.timeOutAfter(10));
        assertNull(caller.read());
        service.expectClose();
    }

    // ---- disconnects ---------------------------------------------------------------------------------

    @Test
    void aDisconnectBeforeTheAnswerIsReportedOnce() throws Exception {
        Wire caller = callerWithRequest();
        HandledRequest handled = service.next();
        caller.close();
        service.expectDisconnect(handled.connection());
        service.expectClose();
        answer(handled, 200, "too late"); // harmless
        beginAnswer(handled);
        writePart(handled, "too late");
        onLoop(handled, InboundConnection::endAnswer);
        assertTrue(service.disconnected.isEmpty());
    }

    @Test
    void aDisconnectWithinTheAnswerIsReported() throws Exception {
        Wire caller = callerWithRequest();
        HandledRequest handled = service.next();
        beginAnswer(handled);
        writePart(handled, "one");
        caller.readHead();
        assertEquals("one", caller.readChunk());
        caller.reset();
        service.expectDisconnect(handled.connection());
    }

    /** The caller's close is right behind the request: the request is not handled. */
    @Test
    void aRequestOfADisconnectedClientIsNotHandled() throws Exception {
        Wire caller = caller();
        InboundConnection connection = accepted();
        OnLoop.run(loop, () -> {
            caller.send(request("/", "", ""));
            caller.close();
        });
        OnLoop.await(loop, connection::isClosed);
        OnLoop.run(loop, () -> {});
        OnLoop.run(loop, () -> {});
        assertTrue(service.handled.isEmpty());
        assertTrue(service.disconnected.isEmpty());
        service.expectClose();
    }

    @Test
    void aDisconnectBehindPipelinedRequestsIsReported() throws Exception {
        Wire caller = caller();
        caller.send(request("/1", "", "") + request("/2", "", "x".repeat(50)) + request("/3", "", ""));
        HandledRequest handled = service.next();
        caller.close();
        service.expectDisconnect(handled.connection());
        OnLoop.run(loop, () -> {});
        assertTrue(service.handled.isEmpty());
    }

    @Test
    void aDisconnectWithinARequestLeavesNothing() throws Exception {
        Wire caller = caller();
        sendPartialRequest(caller);
        caller.close();
        service.expectClose();
        assertTrue(service.disconnected.isEmpty());
        assertTrue(service.handled.isEmpty());
    }

    @Test
    void readAheadOverTheBoundFailsTheRequest() throws Exception {
        Wire caller = callerWithRequest();
        HandledRequest handled = service.next();
        caller.send("x".repeat(80 * 1024));
        assertEquals(400, caller.read().status());
        service.expectDisconnect(handled.connection());
    }

    /** The read-ahead bound is exceeded after the request was parsed and before it is handled. */
    @Test
    void aRequestFailedForReadAheadIsNotHandled() throws Exception {
        Wire caller = caller();
        InboundConnection connection = accepted();
        OnLoop.run(loop, () -> {
            connection.received(ByteBuffer.wrap(bytes(request("/", "", ""))));
            connection.readAheadExceeded();
        });
        assertEquals(400, caller.read().status());
        OnLoop.run(loop, () -> {});
        OnLoop.run(loop, () -> {});
        assertTrue(service.handled.isEmpty(), "a request that has its answer must not run");
    }

    // ---- streams --------------------------------------------------------------------------------------

    @Test
    void aStreamIsFollowedByThePipelinedRequest() throws Exception {
        Wire caller = caller();
        caller.send(request("/1", "", "") + request("/2", "", ""));
        HandledRequest handled = service.next();
        onLoop(handled, connection -> connection.beginAnswer(200, List.of(new Headers.Field("Own", "x"))));
        Wire.Message head = caller.readHead();
        assertEquals("chunked", head.header("Transfer-Encoding"));
        assertNull(head.header("Content-Length"));
        assertEquals("x", head.header("Own"));
        writePart(handled, "one");
        assertEquals("one", caller.readChunk());
        writePart(handled, ""); // must not be sent as the last chunk
        writePart(handled, "two".repeat(10));
        assertEquals("two".repeat(10), caller.readChunk());
        assertTrue(service.handled.isEmpty());
        onLoop(handled, InboundConnection::endAnswer);
        assertEquals("", caller.readChunk());
        HandledRequest next = service.next();
        assertEquals("/2", next.request().target());
        answer(next, 200, "plain");
        assertEquals("plain", caller.read().body());
    }

    @Test
    void aStreamWithConnectionCloseIsTheLastOfItsConnection() throws Exception {
        Wire caller = caller();
        caller.send(request("/", "Connection: close\r\n", ""));
        HandledRequest handled = service.next();
        beginAnswer(handled);
        assertEquals("close", caller.readHead().header("Connection"));
        writePart(handled, "one");
        onLoop(handled, InboundConnection::endAnswer);
        assertEquals("one", caller.readChunk());
        assertEquals("", caller.readChunk());
        assertNull(caller.read());
    }

    /** The head states that the connection persists, although the service is closing. */
    @Test
    void aStreamThatBeganBeforeTheServiceClosesKeepsItsConnection() throws Exception {
        Wire caller = caller();
        caller.send(request("/1", "", ""));
        HandledRequest handled = service.next();
        beginAnswer(handled);
        assertNull(caller.readHead().header("Connection"));
        service.closing = true;
        onLoop(handled, InboundConnection::endAnswer);
        assertEquals("", caller.readChunk());
        caller.send(request("/2", "", ""));
        answer(service.next(), 200, "");
        assertEquals("close", caller.read().header("Connection"));
    }

    @Test
    void anAbortedAnswerIsNeverComplete() throws Exception {
        Wire caller = caller();
        caller.send(request("/1", "", "") + request("/2", "", ""));
        HandledRequest handled = service.next();
        onLoop(handled, connection -> {
            connection.beginAnswer(200, List.of());
            connection.writePart(bytes("one"));
        });
        caller.readHead();
        assertEquals("one", caller.readChunk());
        onLoop(handled, InboundConnection::abort);
        boolean cut = false;
        try {
            caller.readChunk();
        } catch (EOFException | SocketException e) {
            cut = true;
        }
        assertTrue(cut);
        service.expectClose();
        OnLoop.run(loop, () -> {});
        assertTrue(service.handled.isEmpty(), "a pipelined request is not handled any more");
        assertTrue(service.disconnected.isEmpty(), "the service has aborted it itself");
    }

    /** All in one task: the chunks are unwritten when the connection is aborted. */
    @Test
    void anAnswerThatIsAbortedAtOnceIsNeverComplete() throws Exception {
        Wire caller = callerWithRequest();
        HandledRequest handled = service.next();
        onLoop(handled, connection -> {
            connection.beginAnswer(200, List.of());
            connection.writePart(bytes("one"));
            connection.abort();
            connection.writePart(bytes("two"));
            connection.endAnswer();
        });
        assertFalse(caller.readToEnd().endsWith("0\r\n\r\n"));
    }

    @Test
    void readAheadOverTheBoundAbortsAStream() throws Exception {
        Wire caller = callerWithRequest();
        HandledRequest handled = service.next();
        beginAnswer(handled);
        caller.send("x".repeat(80 * 1024));
        service.expectDisconnect(handled.connection());
        String all = caller.readToEnd();
        assertFalse(all.endsWith("0\r\n\r\n"));
        assertEquals(all.lastIndexOf("HTTP/1.1 "), all.indexOf("HTTP/1.1 "), "no second status line");
    }

    // ---- closing -------------------------------------------------------------------------------------

    @Test
    void anIdleConnectionIsClosedWithoutAnAnswer() throws Exception {
        Wire caller = callerWithRequest();
        HandledRequest handled = service.next();
        onLoop(handled, connection -> connection.endIfIdle(true)); // busy: it is not closed
        answer(handled, 200, "");
        assertEquals(200, caller.read().status());
        onLoop(handled, connection -> connection.endIfIdle(false));
        assertNull(caller.read());
    }

    /** The request is unread when its connection is closed: it is neither handled nor answered by a reset. */
    @Test
    void aRequestThatMeetsItsConnectionsCloseIsNotHandled() throws Exception {
        Wire caller = caller();
        InboundConnection connection = accepted();
        OnLoop.run(loop, () -> {
            caller.send(request("/", "", ""));
            connection.endIfIdle(false);
        });
        assertNull(caller.read());
        OnLoop.run(loop, () -> {});
        assertTrue(service.handled.isEmpty());
    }

    @Test
    void aPartialRequestKeepsItsConnectionUnlessForced() throws Exception {
        Wire caller = caller();
        InboundConnection connection = sendPartialRequest(caller);
        OnLoop.run(loop, () -> connection.endIfIdle(false));
        assertFalse(connection.isClosed());
        caller.send("cd");
        answer(service.next(), 200, "complete");
        assertEquals("complete", caller.read().body());
        caller.send("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
        OnLoop.await(loop, connection::isHalfRead);
        OnLoop.run(loop, () -> connection.endIfIdle(true));
        caller.send("cd");
        assertNull(caller.read());
        assertTrue(service.handled.isEmpty());
    }
}
