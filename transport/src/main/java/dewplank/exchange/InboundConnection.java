package dewplank.exchange;

import dewplank.http.BadMessageException;
import dewplank.http.Headers;
import dewplank.http.MessageParser;
import dewplank.http.MessageWriter;
import dewplank.http.RequestParser;
import dewplank.net.Connection;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A caller's HTTP connection: requests in, one at a time, and their answers out, complete or as a stream.
 *
 * <p>Malformed requests are answered here and end the connection; a handler's exception is logged and answered 500. On
 * the loop's thread only.
 */
public final class InboundConnection implements Listener.Accepted, Responder {
    private static final System.Logger LOG = System.getLogger(InboundConnection.class.getName());
    private static final byte[] CRLF = {'\r', '\n'};
    private static final byte[] LAST_CHUNK = {'0', '\r', '\n', '\r', '\n'};
    private static final byte[] NO_BODY = new byte[0];
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** Serves the requests of a listener. Called on the loop's thread. */
    public interface Service {
        /** Handles a request; the answer may be given later. */
        void handle(Request request, InboundConnection connection);

        /** The caller closed, or sent malformed bytes: the request handed over is not answered any more. */
        void callerGone(InboundConnection connection);

        /** The connection has ended. */
        default void connectionEnded(InboundConnection connection) {}

        /** Whether each answer is the last of its connection, as the process is draining. */
        default boolean isClosing() {
            return false;
        }

        /** Bound on a request's body, in bytes. */
        default int maxBodyBytes() {
            return 64 * 1024;
        }

        /** Bound on a request's first line and fields together, in bytes. */
        default int maxHeadBytes() {
            return MessageParser.MAX_HEAD_BYTES;
        }
    }

    /** A complete request. */
    public record Request(String method, String target, Headers headers, byte[] body) {}

    private final EventLoop loop;
    private final Service service;
    private final RequestParser parser;
    private Connection connection;
    private boolean isBusy;
    private Request pendingRequest; // complete, not handed over yet
    private boolean handedOver;
    private boolean keepAlive;
    private boolean headOnly; // the request is a HEAD: a body would be taken for the next answer
    private boolean streaming;
    private boolean answerWithoutBody; // the answer that was begun has no body
    private boolean hasAnswered;
    private double waitingSince;

    public InboundConnection(EventLoop loop, Service service) {
        this.loop = loop;
        this.service = service;
        this.parser = new RequestParser(service.maxBodyBytes());
    }

    @Override
    public void accepted(Connection accepted) {
        connection = accepted;
        waitingSince = loop.now();
    }

    @Override
    public void received(ByteBuffer bytes) {
        if (!isBusy && !parser.hasBegun()) {
            waitingSince = loop.now();
            parser.maxBodyBytes(service.maxBodyBytes());
            parser.maxHeadBytes(service.maxHeadBytes());
        }
        try {
            while (!isBusy && !connection.isClosed() && parser.feed(bytes)) {
                takeRequest();
            }
            if (!isBusy && parser.waitsForContinue()) {
                connection.write(MessageWriter.response(100).noBody(), () -> {});
            }
        } catch (BadMessageException e) {
            reject(e);
        }
    }

    private void takeRequest() {
        isBusy = true;
        keepAlive = parser.keepAlive();
        headOnly = parser.method().equals("HEAD");
        Request request = new Request(parser.method(), parser.target(), parser.headers(), parser.takeBody());
        pendingRequest = request;
        // The caller's close may lie right behind its request. The next read follows this method, and its result is
        // queued
        // by the time the first of these tasks runs; so the second task runs after it.
        loop.execute(() -> loop.execute(() -> handOver(request)));
    }

    @SuppressWarnings("ReferenceEquality") // this request, not an equal one that came later
    private void handOver(Request request) {
        if (connection.isClosed() || pendingRequest != request) { // its caller closed, or was answered
            return;
        }
        pendingRequest = null;
        handedOver = true;
        try {
            service.handle(request, this);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "a request failed", e);
            reject(new BadMessageException(500, "internal error"));
        }
    }

    @Override
    public void readAheadExceeded() {
        reject(new BadMessageException(400, "too much was sent ahead of an answer"));
    }

    /** Answers a malformed request and ends the connection, as the next request's start is unknown. */
    private void reject(BadMessageException e) {
        dropRequest();
        keepAlive = false;
        if (streaming) {
            abort();
            return;
        }
        isBusy = true;
        answer(e.status(), List.of(), (e.getMessage() + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private void dropRequest() {
        pendingRequest = null;
        if (handedOver) {
            handedOver = false;
            service.callerGone(this);
        }
    }

    @Override
    public void closed(IOException why) {
        dropRequest();
        service.connectionEnded(this);
    }

    /** Answers the request that was handed over; does nothing once the connection is closed. */
    @Override
    public void answer(int status, List<Headers.Field> headers, byte[] body) {
        if (connection.isClosed()) {
            return;
        }
        boolean last = isLastAnswer();
        MessageWriter head =
                MessageWriter.response(status).headers(headers).header("Connection", last ? "close" : null);
        connection.write(isWithoutBody(status) ? head.noBody() : head.body(body), () -> {});
        answerEnded(last);
    }

    /** Answers with a status alone. */
    public void answer(int status) {
        answer(status, List.of(), NO_BODY);
    }

    /** Whether the answer ends with its head (RFC 9112, section 6.3). */
    private boolean isWithoutBody(int status) {
        return headOnly || status == NO_CONTENT || status == NOT_MODIFIED;
    }

    /** Begins an answer whose body follows in parts. */
    public void beginAnswer(int status, List<Headers.Field> headers) {
        if (connection.isClosed()) {
            return;
        }
        streaming = true;
        keepAlive = !isLastAnswer();
        answerWithoutBody = isWithoutBody(status);
        connection.write(
                MessageWriter.response(status)
                        .headers(headers)
                        .header("Transfer-Encoding", answerWithoutBody ? null : "chunked")
                        .header("Connection", keepAlive ? null : "close")
                        .noBody(),
                () -> {});
    }

    /** Writes the next part of a body. */
    public void writePart(byte[] bytes) {
        if (bytes.length > 0 && !answerWithoutBody && !connection.isClosed()) {
            byte[] size = Integer.toHexString(bytes.length).getBytes(StandardCharsets.US_ASCII);
            connection.write(
                    ByteBuffer.allocate(size.length + bytes.length + 2 * CRLF.length)
                            .put(size)
                            .put(CRLF)
                            .put(bytes)
                            .put(CRLF)
                            .flip(),
                    () -> {});
        }
    }

    /** Ends the body. */
    public void endAnswer() {
        if (!connection.isClosed()) {
            if (!answerWithoutBody) {
                connection.write(ByteBuffer.wrap(LAST_CHUNK), () -> {});
            }
            answerEnded(!keepAlive);
        }
    }

    /** Closes the connection in the middle of an answer, so that the caller sees that it is incomplete. */
    public void abort() {
        handedOver = false;
        connection.close();
        service.connectionEnded(this);
    }

    private boolean isLastAnswer() {
        return !keepAlive || service.isClosing();
    }

    private void answerEnded(boolean last) {
        handedOver = false;
        headOnly = false;
        streaming = false;
        hasAnswered = true;
        waitingSince = loop.now();
        parser.reset();
        if (last) {
            connection.closeGracefully();
            service.connectionEnded(this);
        } else {
            isBusy = false;
            connection.resume();
        }
    }

    /** Whether the connection is closed. */
    public boolean isClosed() {
        return connection.isClosed();
    }

    /** Whether a request is being answered. */
    public boolean isBusy() {
        return isBusy;
    }

    /** Whether part of a request has arrived. */
    public boolean isHalfRead() {
        return !isBusy && parser.hasBegun();
    }

    /** Whether the head of a request has arrived, and its body is incomplete. */
    public boolean isHeadRead() {
        return isHalfRead() && parser.isHeadRead();
    }

    /** Whether any request was answered. */
    public boolean hasAnswered() {
        return hasAnswered;
    }

    /** Since when a complete request is awaited: its first byte, else the last answer or the start. */
    public double waitingSince() {
        return waitingSince;
    }

    /** Times the connection out if a complete request has been awaited for longer than {@code ms}. */
    public void timeOutAfter(double ms) {
        if (!isBusy && loop.now() - waitingSince > ms) {
            timeOut();
        }
    }

    /** Times the connection out; a request that has begun is answered 408. */
    public void timeOut() {
        if (parser.hasBegun()) {
            reject(new BadMessageException(408, "the request did not become whole in time"));
        } else {
            connection.close();
            service.connectionEnded(this);
        }
    }

    /** Ends the connection unless a request is being answered or, without {@code unread}, is partly read. */
    public void endIfIdle(boolean unread) {
        if (!isBusy && (unread || !parser.hasBegun())) {
            isBusy = true;
            connection.closeGracefully();
            service.connectionEnded(this);
        }
    }
}
