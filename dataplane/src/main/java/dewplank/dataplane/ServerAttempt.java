package dewplank.dataplane;

import dewplank.exchange.HttpCall;
import dewplank.http.Headers;
import dewplank.net.EventLoop;
import dewplank.routing.TrackedServer;
import java.nio.ByteBuffer;
import java.util.function.BooleanSupplier;

/**
 * One attempt of a request at a server, which counts as load there from its start to its end, however it ends. Made by
 * an {@link AttemptFactory}; started once; on the event loop's thread only.
 */
final class ServerAttempt {
    private final Server server;
    private final long prefillTokens;
    private final EventLoop loop;
    private final Counters counters;
    private final HttpCall call;
    /** Null before the start and after the end. */
    private TrackedServer.InFlightRequest inFlight;

    private double startedAt;

    ServerAttempt(
            EventLoop loop,
            Server server,
            long prefillTokens,
            ByteBuffer message,
            Counters counters,
            HttpCall.Listener listener) {
        this.counters = counters;
        this.loop = loop;
        this.server = server;
        this.prefillTokens = prefillTokens;
        this.call = new HttpCall(loop, server.address, server.pool, message, new LoadReleasingListener(listener));
    }

    /** The attempt gets a connection that carries no other call, before or after. */
    void useDedicatedConnection() {
        call.exclusive();
    }

    /** Sets a condition that is checked once connected, immediately before the request is written. */
    void sendOnlyIf(BooleanSupplier condition) {
        call.sendOnlyIf(condition);
    }

    /** The request is a HEAD. */
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
        return call.isOver();
    }

    /**
     * Whether the server may have read of the request, so that it may run: a server may begin before it has read a long
     * body.
     */
    boolean mayHaveReachedServer() {
        return call.isConnected();
    }

    /** The prompt has been prefilled: its tokens weigh on the server no more. */
    void recordPromptPrefilled() {
        if (inFlight != null) {
            server.state.promptPrefilled(inFlight);
        }
    }

    /** Milliseconds since the start. */
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

    /** Takes the attempt off the server's load before its end is handed on. */
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
        public void failed(HttpCall.Failure failure) {
            releaseLoad();
            listener.failed(failure);
        }
    }
}
