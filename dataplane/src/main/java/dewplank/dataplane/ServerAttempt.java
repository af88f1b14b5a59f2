package dewplank.dataplane;

import dewplank.exchange.HttpCall;
import dewplank.http.Headers;
import dewplank.http.MessageWriter;
import dewplank.net.EventLoop;
import dewplank.routing.TrackedServer;
import java.util.function.BooleanSupplier;

/**
 * One attempt to run a request at a server. It counts towards the server's load from its start until it completes,
 * fails or is cancelled. Created by an {@link AttemptFactory}; started once; must be used on the event loop's thread
 * only.
 */
final class ServerAttempt {
    private final Server server;
    private final long prefillTokens;
    private final EventLoop loop;
    private final Counters counters;
    private final HttpCall call;
    /** Null before the attempt starts and after it ends. */
    private TrackedServer.InFlightRequest inFlight;

    private double startedAt;

    ServerAttempt(
            EventLoop loop,
            Server server,
            long prefillTokens,
            MessageWriter.Message message,
            Counters counters,
            HttpCall.Listener listener) {
        this.counters = counters;
        this.loop = loop;
        this.server = server;
        this.prefillTokens = prefillTokens;
        this.call = new HttpCall(
                loop, server.address, server.pool, message.head(), message.body(), new LoadReleasingListener(listener));
    }

    /** Collects the response's body up to this size; a longer response fails. */
    void collectBody(long maxBytes) {
        call.collectBody(maxBytes);
    }

    /** Stops reading the response until {@link #resumeReading}. */
    void pauseReading() {
        call.pauseReading();
    }

    /** Continues to read the response. */
    void resumeReading() {
        call.resumeReading();
    }

    /** Makes the attempt use a connection that carries no other call, neither before nor after it. */
    void useDedicatedConnection() {
        call.useDedicatedConnection();
    }

    /** Sets a condition that is checked once the connection is open, immediately before the request is written. */
    void sendOnlyIf(BooleanSupplier condition) {
        call.sendOnlyIf(condition);
    }

    /** Expects a response without a body, as the request is a HEAD. */
    void expectNoBody() {
        call.expectHead();
    }

    void start(double connectTimeoutMs) {
        startedAt = loop.now();
        inFlight = server.state.requestStarted(startedAt, prefillTokens);
        call.start(connectTimeoutMs);
        if (!call.isReused()) {
            counters.add(Counters.Count.CONNECTIONS);
        }
    }

    Server server() {
        return server;
    }

    boolean isOver() {
        return call.isDone();
    }

    /**
     * Whether the server may have read a part of the request and may therefore run it: a server may start before it has
     * read all of a long body.
     */
    boolean mayHaveReachedServer() {
        return call.isConnected();
    }

    /** Records that the prompt was prefilled, so that its tokens no longer count towards the server's load. */
    void recordPromptPrefilled() {
        if (inFlight != null) {
            server.state.promptPrefilled(inFlight);
        }
    }

    /** Milliseconds since the attempt started. */
    double elapsedMs() {
        return loop.now() - startedAt;
    }

    void cancel() {
        call.cancel();
        releaseLoad();
    }

    private void releaseLoad() {
        if (inFlight != null) {
            server.state.requestEnded(inFlight);
            inFlight = null;
        }
    }

    /** Removes the attempt from the server's load before it forwards the end of the call to the attempt's listener. */
    private final class LoadReleasingListener implements HttpCall.Listener {
        private final HttpCall.Listener listener;

        LoadReleasingListener(HttpCall.Listener listener) {
            this.listener = listener;
        }

        @Override
        public boolean head(int status, Headers headers) {
            return listener.head(status, headers);
        }

        @Override
        public void body(byte[] bytes) {
            listener.body(bytes);
        }

        @Override
        public void complete() {
            releaseLoad();
            listener.complete();
        }

        @Override
        public long heldBytes() {
            return listener.heldBytes();
        }

        @Override
        public boolean releaseHeldBytes() {
            return listener.releaseHeldBytes();
        }

        @Override
        public void failed(HttpCall.Failure failure) {
            releaseLoad();
            listener.failed(failure);
        }
    }
}
