package dewplank.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.http.Headers;
import dewplank.net.EventLoop;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Calls to a scripted server: which events the listener receives, and when connections are reused or closed. */
class HttpCallTest {
    private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final double CONNECT_TIMEOUT_MS = 5_000;
    private static final int LONG_BODY_BYTES = 16 << 20;
    private static final int SOCKET_BUFFER_BYTES = 16 << 10;
    /** More than one read takes, and less than the system buffers. */
    private static final int SEVERAL_READS_BYTES = 40_000;

    private final ManualClock clock = new ManualClock();
    private EventLoop loop;
    private ScriptedServer server;
    private ConnectionPool pool;

    @BeforeEach
    void setUp() throws IOException {
        loop = new EventLoop();
        server = new ScriptedServer();
        pool = new ConnectionPool(clock, 0, 60_000);
    }

    @AfterEach
    void tearDown() throws IOException {
        server.close();
        loop.stop();
    }

    /** Records the events of a call, in order; if an id is expected, responses with another id are discarded. */
    private static final class RecordingListener implements HttpCall.Listener {
        private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
        private String expectedId;

        @Override
        public boolean head(int status, Headers headers) {
            boolean accepted = expectedId == null || expectedId.equals(headers.get("Id"));
            events.add(accepted ? "head " + status : "discarded " + status);
            return accepted;
        }

        @Override
        public void body(byte[] piece) {
            events.add("body " + new String(piece, StandardCharsets.ISO_8859_1));
        }

        @Override
        public void complete() {
            events.add("complete");
        }

        @Override
        public void failed(HttpCall.Failure failure) {
            events.add("failed " + failure);
        }

        String next() throws InterruptedException {
            String event = events.poll(TestPeer.TIMEOUT_S, TimeUnit.SECONDS);
            return event == null ? "no event" : event;
        }

        void expect(String... expected) throws InterruptedException {
            for (String event : expected) {
                assertEquals(event, next());
            }
        }
    }

    private HttpCall call(ScriptedServer to, String request, HttpCall.Listener listener) {
        return new HttpCall(loop, to.address(), pool, bytes(request), listener);
    }

    private HttpCall call(String request, HttpCall.Listener listener) {
        return call(server, request, listener);
    }

    private HttpCall startCall(String request, RecordingListener listener) {
        HttpCall call = call(request, listener);
        start(call);
        return call;
    }

    private void start(HttpCall call) {
        loop.execute(() -> call.start(CONNECT_TIMEOUT_MS));
    }

    /** Sends a response with a Content-Length, and asserts that the listener receives all of it. */
    private static void assertResponseDelivered(TestPeer peer, RecordingListener listener, String body)
            throws Exception {
        peer.respond("200 OK", "", body);
        listener.expect("head 200");
        if (!body.isEmpty()) {
            listener.expect("body " + body);
        }
        listener.expect("complete");
    }

    /** Runs a call to its completion and returns its connection. */
    private TestPeer completedCall(String body) throws Exception {
        RecordingListener listener = startCall();
        TestPeer peer = server.next().peer();
        assertResponseDelivered(peer, listener, body);
        return peer;
    }

    private RecordingListener startCall() {
        RecordingListener listener = new RecordingListener();
        startCall(REQUEST, listener);
        return listener;
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    // ---- bodies ---------------------------------------------------------------------------------------

    @Test
    void aBodyWithALengthIsDeliveredAsItArrives() throws Exception {
        RecordingListener listener = startCall();
        TestPeer peer = server.next().peer();
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nab");
        listener.expect("head 200", "body ab");
        peer.send("cd");
        listener.expect("body cd");
        peer.send("ef");
        listener.expect("body ef", "complete");
    }

    @Test
    void chunksAreDeliveredAsTheyArrive() throws Exception {
        RecordingListener listener = startCall();
        TestPeer peer = server.next().peer();
        peer.send("HTTP/1.1 200 OK\r\nTransfer-Enco");
        peer.send("ding: chunked\r\n\r\n");
        listener.expect("head 200");
        peer.chunk("one");
        listener.expect("body one");
        peer.send("5\r\ntw");
        listener.expect("body tw");
        peer.send("o.1\r\n");
        listener.expect("body o.1");
        peer.lastChunk();
        listener.expect("complete");
        OnLoop.await(loop, () -> pool.size() == 1);
    }

    @Test
    void aResponseWithoutABodyIsCompleteAfterItsHead() throws Exception {
        RecordingListener listener = startCall();
        server.next().peer().send("HTTP/1.1 204 No Content\r\n\r\n");
        listener.expect("head 204", "complete");
    }

    @Test
    void interimResponsesAreSkipped() throws Exception {
        RecordingListener listener = startCall();
        TestPeer peer = server.next().peer();
        peer.send("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
        assertResponseDelivered(peer, listener, "it");
    }

    @Test
    void aResponseWithoutALengthIsCompleteAtEndOfStream() throws Exception {
        RecordingListener listener = startCall();
        TestPeer peer = server.next().peer();
        peer.send("HTTP/1.1 200 OK\r\n\r\nall of");
        listener.expect("head 200", "body all of");
        peer.send(" it");
        peer.close();
        listener.expect("body  it", "complete");
        assertEquals(0, OnLoop.get(loop, pool::size));
    }

    @Test
    void aResetTruncatesAResponseWithoutALength() throws Exception {
        RecordingListener listener = startCall();
        TestPeer peer = server.next().peer();
        peer.send("HTTP/1.1 200 OK\r\n\r\nall of");
        listener.expect("head 200", "body all of");
        peer.reset();
        listener.expect("failed BROKEN");
    }

    // ---- invalid responses ----------------------------------------------------------------------------

    @Test
    void aMalformedResponseFailsTheCall() throws Exception {
        for (String malformed : new String[] {
            "what?",
            "HTTP/1.1 OK\r\n\r\n",
            "HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc"
        }) {
            RecordingListener listener = startCall();
            TestPeer peer = server.next().peer();
            peer.send(malformed);
            assertEquals("failed MALFORMED", listener.next(), malformed);
            peer.awaitClose();
        }
    }

    @Test
    void aMalformedChunkFailsTheCallDuringItsResponse() throws Exception {
        RecordingListener listener = startCall();
        TestPeer peer = server.next().peer();
        peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        peer.chunk("one");
        listener.expect("head 200", "body one");
        peer.send("2\r\nabc\r\n");
        String last = listener.next();
        assertEquals("failed MALFORMED", last.startsWith("body") ? listener.next() : last);
        peer.awaitClose();
    }

    @Test
    void aTruncatedResponseFailsTheCall() throws Exception {
        for (String part : new String[] {
            "HTTP/1.1 200 O",
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n12345678",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
        }) {
            RecordingListener listener = startCall();
            TestPeer peer = server.next().peer();
            peer.send(part);
            peer.close();
            String event = listener.next();
            while (event.startsWith("head") || event.startsWith("body")) {
                event = listener.next();
            }
            assertEquals("failed BROKEN", event, part);
        }
    }

    // ---- connection reuse -----------------------------------------------------------------------------

    @Test
    void aConnectionIsReusedAfterTheReuseDelay() throws Exception {
        pool = new ConnectionPool(clock, ConnectionPool.REUSE_DELAY_MS, 60_000);
        RecordingListener first = startCall();
        ScriptedServer.Call one = server.next();
        assertResponseDelivered(one.peer(), first, "1");
        RecordingListener second = new RecordingListener();
        HttpCall early = startCall(REQUEST, second); // within the reuse delay: uses another connection
        ScriptedServer.Call two = server.next();
        assertNotSame(one.peer(), two.peer());
        assertFalse(early.isReused());
        assertResponseDelivered(two.peer(), second, "2");
        clock.advance(ConnectionPool.REUSE_DELAY_MS);
        RecordingListener third = new RecordingListener();
        HttpCall reusing = startCall(REQUEST, third);
        ScriptedServer.Call three = server.next();
        assertSame(two.peer(), three.peer(), "the most recently used connection is reused first");
        assertTrue(reusing.isReused());
        assertResponseDelivered(three.peer(), third, "3");
    }

    @Test
    void anIdleConnectionIsClosedBeforeItsServersKeepAliveExpires() throws Exception {
        assertEquals(1, sizeAfterClosingExpired(poolWithIdleConnection("Keep-Alive: timeout=60\r\n")));
        assertEquals(0, sizeAfterClosingExpired(poolWithIdleConnection("Keep-Alive: timeout=0, max=5\r\n")));
        assertEquals(1, sizeAfterClosingExpired(poolWithIdleConnection("Keep-Alive: max=5, timeout=never\r\n")));
        ConnectionPool sixtySeconds = poolWithIdleConnection("Keep-Alive: max=5, timeout=60\r\n");
        ConnectionPool oneSecond = poolWithIdleConnection("Keep-Alive: timeout=1\r\n");
        ConnectionPool withoutTimeout = poolWithIdleConnection("");
        clock.advance(1_000);
        assertEquals(1, sizeAfterClosingExpired(sixtySeconds));
        assertEquals(
                0, sizeAfterClosingExpired(oneSecond), "a timeout of one second at the server is shorter in the pool");
        assertEquals(
                0, sizeAfterClosingExpired(withoutTimeout), "without a Keep-Alive timeout the limit is one second");
    }

    private int sizeAfterClosingExpired(ConnectionPool from) throws Exception {
        return OnLoop.get(loop, () -> {
            from.closeExpired();
            return from.size();
        });
    }

    private ConnectionPool poolWithIdleConnection(String fields) throws Exception {
        pool = new ConnectionPool(clock, 0, 60_000);
        RecordingListener listener = startCall();
        server.next().peer().respond("200 OK", fields, "");
        listener.expect("head 200", "complete");
        return pool;
    }

    @Test
    void aNonPersistentConnectionIsNotReused() throws Exception {
        for (String head : new String[] {"HTTP/1.1 200 OK\r\nConnection: close\r\n", "HTTP/1.0 200 OK\r\n"}) {
            RecordingListener listener = startCall();
            TestPeer peer = server.next().peer();
            peer.send(head + "Content-Length: 0\r\n\r\n");
            listener.expect("head 200", "complete");
            peer.awaitClose();
            assertEquals(0, OnLoop.get(loop, pool::size));
        }
    }

    @Test
    void surplusBytesCloseTheConnection() throws Exception {
        RecordingListener listener = startCall();
        TestPeer peer = server.next().peer();
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nho");
        listener.expect("head 200", "body hi", "complete");
        peer.awaitClose();
        assertEquals(0, OnLoop.get(loop, pool::size));
    }

    /** The second response arrives on the idle connection, before the next call could mistake it for its response. */
    @Test
    void aSecondResponseOnAnIdleConnectionClosesIt() throws Exception {
        TestPeer peer = completedCall("hi");
        peer.respond("200 OK", "", "ho");
        peer.awaitClose();
        assertEquals(0, OnLoop.get(loop, pool::size));
        RecordingListener next = startCall();
        ScriptedServer.Call call = server.next();
        assertNotSame(peer, call.peer());
        assertResponseDelivered(call.peer(), next, "own");
    }

    /** The next call is in progress when the late response to the previous one arrives. */
    @Test
    void aResponseToAnotherCallIsDiscardedByItsId() throws Exception {
        TestPeer peer = completedCall("hi");
        RecordingListener listener = new RecordingListener();
        listener.expectedId = "b";
        startCall(REQUEST, listener);
        assertSame(peer, server.next().peer());
        peer.respond("200 OK", "Id: a\r\n", "late");
        listener.expect("discarded 200");
        peer.send("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n");
        peer.chunk("later");
        peer.lastChunk();
        listener.expect("discarded 200");
        peer.respond("200 OK", "Id: b\r\n", "own");
        listener.expect("head 200", "body own", "complete");
    }

    @Test
    void twoResponsesInOneSegmentAreDistinguished() throws Exception {
        RecordingListener listener = new RecordingListener();
        listener.expectedId = "b";
        startCall(REQUEST, listener);
        server.next()
                .peer()
                .send("HTTP/1.1 503 Busy\r\nId: a\r\nContent-Length: 4\r\n\r\nlate"
                        + "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 3\r\n\r\nown");
        listener.expect("discarded 503", "head 200", "body own", "complete");
    }

    @Test
    void aResponseToAnotherCallThatClosesTheConnectionFailsTheCall() throws Exception {
        RecordingListener listener = new RecordingListener();
        listener.expectedId = "b";
        startCall(REQUEST, listener);
        server.next().peer().respond("200 OK", "Id: a\r\nConnection: close\r\n", "late");
        listener.expect("discarded 200", "failed BROKEN");
    }

    @Test
    void aResponseToAnotherCallWithoutALengthFailsTheCall() throws Exception {
        RecordingListener listener = new RecordingListener();
        listener.expectedId = "b";
        startCall(REQUEST, listener);
        TestPeer peer = server.next().peer();
        peer.send("HTTP/1.1 200 OK\r\nId: a\r\n\r\nlate");
        peer.close();
        listener.expect("discarded 200", "failed BROKEN");
    }

    // ---- failed connections ---------------------------------------------------------------------------

    @Test
    void aRefusedConnectionFailsAsNotConnected() throws Exception {
        try (ScriptedServer refusing = ScriptedServer.refusing()) {
            RecordingListener listener = new RecordingListener();
            HttpCall call = call(refusing, REQUEST, listener);
            start(call);
            listener.expect("failed NOT_CONNECTED");
            assertFalse(OnLoop.get(loop, call::isConnected));
        }
    }

    @Test
    void aConnectTimeoutFailsAsNotConnected() throws Exception {
        try (ScriptedServer late = ScriptedServer.withDelayedAccept(new LinkedBlockingQueue<>())) {
            RecordingListener listener = new RecordingListener();
            HttpCall call = call(late, REQUEST, listener);
            loop.execute(() -> call.start(30));
            listener.expect("failed NOT_CONNECTED");
            assertFalse(OnLoop.get(loop, call::isSent));
            assertTrue(OnLoop.get(loop, call::isDone));
        }
    }

    @Test
    void aResetAfterTheLastByteFailsAsBroken() throws Exception {
        RecordingListener listener = new RecordingListener();
        HttpCall call = startCall(REQUEST, listener);
        TestPeer peer = server.next().peer();
        assertTrue(OnLoop.get(loop, call::isSent));
        peer.reset();
        listener.expect("failed BROKEN");
    }

    @Test
    void aCloseAfterTheLastByteFailsAsBroken() throws Exception {
        RecordingListener listener = startCall();
        server.next().peer().close();
        listener.expect("failed BROKEN");
    }

    /** A server may start to process a request before it has read a long body. */
    @Test
    void aResetDuringTheRequestFailsAsBroken() throws Exception {
        try (ScriptedServer raw = ScriptedServer.withoutReading()) {
            RecordingListener listener = new RecordingListener();
            HttpCall call = call(raw, longRequest(), listener);
            start(call);
            TestPeer peer = raw.nextConnection();
            peer.readHead();
            peer.reset();
            listener.expect("failed BROKEN");
            assertFalse(OnLoop.get(loop, call::isSent));
        }
    }

    private static String longRequest() {
        return "POST /x HTTP/1.1\r\nContent-Length: " + LONG_BODY_BYTES + "\r\n\r\n" + "x".repeat(LONG_BODY_BYTES);
    }

    /** A connection that breaks before its first write has sent no bytes: the request cannot have run. */
    @Test
    void aFailureBeforeTheFirstByteFailsAsNotSent() throws Exception {
        RecordingListener listener = new RecordingListener();
        HttpCall call = call(REQUEST, listener);
        OnLoop.run(loop, () -> {
            call.start(CONNECT_TIMEOUT_MS);
            call.closed(new IOException("broken before it was established"));
        });
        listener.expect("failed NOT_SENT");
    }

    // ---- early responses ------------------------------------------------------------------------------

    /** The rest of the request is not sent yet, so no other request may be sent on its connection. */
    @Test
    void aConnectionIsNotReusedAfterAnEarlyResponse() throws Exception {
        try (ScriptedServer raw = ScriptedServer.withoutReading()) {
            RecordingListener listener = new RecordingListener();
            HttpCall call = call(raw, longRequest(), listener);
            start(call);
            TestPeer peer = raw.nextConnection();
            peer.readHead();
            assertResponseDelivered(peer, listener, "early");
            assertEquals(0, OnLoop.get(loop, pool::size));
            String received = peer.readToEnd();
            assertTrue(
                    received.chars().allMatch(character -> character == 'x'),
                    "other bytes were sent instead of the body");
        }
    }

    /**
     * The write of the request receives the reset before all of the response is read. The loop is blocked until both
     * have arrived.
     */
    @Test
    void anEarlyResponseWithItsLengthIsReadToItsEndAfterAReset() throws Exception {
        String body = "e".repeat(SEVERAL_READS_BYTES);
        try (ScriptedServer raw = ScriptedServer.withoutReading()) {
            RecordingListener listener = new RecordingListener();
            start(call(raw, longRequest(), listener));
            TestPeer peer = raw.nextConnection();
            peer.readHead();
            OnLoop.run(loop, () -> {
                peer.respond("413 Content Too Large", "", body);
                peer.reset();
            });
            listener.expect("head 413");
            StringBuilder received = new StringBuilder();
            String event = listener.next();
            while (event.startsWith("body ")) {
                received.append(event.substring("body ".length()));
                event = listener.next();
            }
            assertEquals("complete", event, received.length() + " bytes");
            assertEquals(body, received.toString());
        }
    }

    /** The complete request is in the socket buffers: its connection is reused, and the server reads both in order. */
    @Test
    void aServerThatContinuesToReadAfterAnEarlyResponseReceivesTheBodyAndTheNextRequest() throws Exception {
        String body = "y".repeat(SOCKET_BUFFER_BYTES);
        try (ScriptedServer raw = ScriptedServer.withoutReading()) {
            RecordingListener listener = new RecordingListener();
            HttpCall first =
                    call(raw, "POST /1 HTTP/1.1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body, listener);
            start(first);
            TestPeer peer = raw.nextConnection();
            assertEquals("/1", peer.readHead().target());
            OnLoop.await(loop, first::isSent);
            assertResponseDelivered(peer, listener, "early");
            RecordingListener next = new RecordingListener();
            HttpCall second = call(raw, "GET /2 HTTP/1.1\r\n\r\n", next);
            start(second);
            assertEquals(body, peer.readBytes(body.length()));
            assertEquals("/2", peer.readHead().target());
            assertTrue(second.isReused());
            assertResponseDelivered(peer, next, "own");
        }
    }

    // ---- exclusive calls, HEAD and closed connections -------------------------------------------------

    @Test
    void aCallWithADedicatedConnectionNeitherUsesNorReturnsAPooledConnection() throws Exception {
        TestPeer peer = completedCall("");
        OnLoop.await(loop, () -> pool.size() == 1);
        RecordingListener listener = new RecordingListener();
        HttpCall dedicated = call(REQUEST, listener).useDedicatedConnection();
        start(dedicated);
        TestPeer own = server.next().peer();
        assertNotSame(peer, own);
        assertResponseDelivered(own, listener, "");
        own.awaitClose();
        assertEquals(1, OnLoop.get(loop, pool::size), "the idle connection stays in the pool");
    }

    /** The Content-Length in a response to a HEAD is that of a body that is not sent. */
    @Test
    void theResponseToAHeadRequestHasNoBody() throws Exception {
        RecordingListener listener = new RecordingListener();
        HttpCall call = call("HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n", listener).expectHead();
        start(call);
        server.next().peer().send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
        listener.expect("head 200", "complete");
        OnLoop.await(loop, () -> pool.size() == 1);
    }

    /** The close of an idle connection by its server is detected before the next call, which opens a new one. */
    @Test
    void anIdleConnectionThatItsServerClosedIsNotReused() throws Exception {
        TestPeer peer = completedCall("");
        peer.close();
        OnLoop.await(loop, () -> pool.size() == 0);
        RecordingListener second = startCall();
        ScriptedServer.Call call = server.next();
        assertNotSame(peer, call.peer());
        assertResponseDelivered(call.peer(), second, "");
    }

    /** A call starts before the server's reset of the idle connection is detected: its request may have run. */
    @Test
    void aResetOfAReusedConnectionFailsItsCall() throws Exception {
        TestPeer peer = completedCall("");
        OnLoop.await(loop, () -> pool.size() == 1);
        RecordingListener second = new RecordingListener();
        OnLoop.run(
                loop,
                () -> { // in one task of the loop, so that the reset is not detected before the call starts
                    peer.reset();
                    call(REQUEST, second).start(CONNECT_TIMEOUT_MS);
                });
        assertTrue(second.next().startsWith("failed "));
    }

    // ---- cancellation ---------------------------------------------------------------------------------

    @Test
    void aCallCancelledBeforeItIsConnectedSendsNothing() throws Exception {
        try (ScriptedServer late = ScriptedServer.withDelayedAccept(new LinkedBlockingQueue<>())) {
            RecordingListener listener = new RecordingListener();
            HttpCall call = call(late, REQUEST, listener);
            OnLoop.run(loop, () -> {
                call.start(30);
                call.cancel();
            });
            late.acceptConnections();
            try (TestPeer mark = TestPeer.to(late.address())) {
                mark.send("GET /mark HTTP/1.1\r\n\r\n");
                assertEquals("/mark", late.next().message().target());
            }
            OnLoop.waitMs(loop, 30);
            assertNull(listener.events.poll(), "a cancelled call reports no event, not even a connect timeout");
        }
    }

    @Test
    void aCallCancelledBeforeItsResponseClosesItsConnection() throws Exception {
        RecordingListener listener = new RecordingListener();
        HttpCall call = startCall(REQUEST, listener);
        TestPeer peer = server.next().peer();
        OnLoop.run(loop, call::cancel);
        peer.awaitClose();
        assertNull(listener.events.poll());
        assertEquals(0, OnLoop.get(loop, pool::size));
    }

    @Test
    void aCallCancelledDuringItsResponseClosesItsConnection() throws Exception {
        RecordingListener listener = new RecordingListener();
        HttpCall call = startCall(REQUEST, listener);
        TestPeer peer = server.next().peer();
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab");
        listener.expect("head 200", "body ab");
        OnLoop.run(loop, call::cancel);
        peer.awaitClose();
        assertNull(listener.events.poll());
    }

    @Test
    void aListenerThatCancelsTheCallReceivesNoFurtherEvents() throws Exception {
        for (String at : new String[] {"head", "body"}) {
            BlockingQueue<String> events = new LinkedBlockingQueue<>();
            HttpCall[] call = new HttpCall[1];
            call[0] = new HttpCall(loop, server.address(), pool, bytes(REQUEST), new HttpCall.Listener() {
                private void recordEvent(String event) {
                    events.add(event);
                    if (event.equals(at)) {
                        call[0].cancel();
                    }
                }

                @Override
                public boolean head(int status, Headers headers) {
                    recordEvent("head");
                    return true;
                }

                @Override
                public void body(byte[] piece) {
                    recordEvent("body");
                }

                @Override
                public void complete() {
                    recordEvent("complete");
                }

                @Override
                public void failed(HttpCall.Failure failure) {
                    recordEvent("failed");
                }
            });
            loop.execute(() -> call[0].start(CONNECT_TIMEOUT_MS));
            TestPeer peer = server.next().peer();
            peer.respond("200 OK", "", "hi");
            peer.awaitClose();
            assertEquals(at.equals("head") ? "[head]" : "[head, body]", OnLoop.get(loop, events::toString));
        }
    }

    @Test
    void cancellingACompleteCallHasNoEffect() throws Exception {
        RecordingListener listener = new RecordingListener();
        HttpCall call = startCall(REQUEST, listener);
        TestPeer peer = server.next().peer();
        assertResponseDelivered(peer, listener, "");
        OnLoop.run(loop, call::cancel);
        assertEquals(1, OnLoop.get(loop, pool::size));
        assertFalse(peer.isClosedByPeer());
    }

    // ---- send condition -------------------------------------------------------------------------------

    @Test
    void aCallWhoseSendConditionIsFalseIsNotWritten() throws Exception {
        try (ScriptedServer late = ScriptedServer.withDelayedAccept(new LinkedBlockingQueue<>())) {
            RecordingListener listener = new RecordingListener();
            boolean[] condition = {true};
            HttpCall call =
                    new HttpCall(loop, late.address(), pool, bytes(REQUEST), listener).sendOnlyIf(() -> condition[0]);
            OnLoop.run(loop, () -> call.start(60_000));
            OnLoop.run(loop, () -> condition[0] = false);
            late.acceptConnections();
            listener.expect("failed WITHHELD");
            for (int i = 0; i < 3; i++) { // two connections fill the backlog; the third is the call's
                late.nextConnection().awaitClose();
            }
        }
    }

    @Test
    void theSendConditionIsCheckedOnReusedConnections() throws Exception {
        completedCall("");
        RecordingListener second = new RecordingListener();
        HttpCall failing = call(REQUEST, second).sendOnlyIf(() -> false);
        start(failing);
        second.expect("failed WITHHELD");
        assertTrue(OnLoop.get(loop, failing::isDone));
        RecordingListener third = startCall();
        assertResponseDelivered(server.next().peer(), third, "");
    }
}
