package dewplank.dataplane;

import dewplank.exchange.HttpCall;
import dewplank.http.Headers;
import dewplank.net.EventLoop;
import dewplank.routing.TrackedServer;
import java.nio.ByteBuffer;

/** A call to a server that counts as load there from its start to its end, however it ends. */
final class ServerAttempt {
    private final Server server;
    private final long tokens;
    private final EventLoop loop;
    private final Counters counters;
    private final HttpCall call;
    private TrackedServer.InFlightRequest flight;
    private double startedAt;

    ServerAttempt(
            EventLoop loop,
            Server server,
            long tokens,
            ByteBuffer message,
            Counters counters,
            HttpCall.Listener listener) {
        this.counters = counters;
        this.loop = loop;
        this.server = server;
        this.tokens = tokens;
        this.call = new HttpCall(loop, server.address, server.pool, message, new Counting(listener));
    }

    /** The call shares its connection with no other one. */
    void alone() {
        call.exclusive();
    }

    /** The request is a HEAD. */
    void expectHead() {
        call.expectHead();
    }

    void start(double connectTimeoutMs) {
        startedAt = loop.now();
        flight = server.state.requestStarted(startedAt, tokens);
        call.start(connectTimeoutMs);
        if (!call.isReused()) {
            counters.add(Counters.Count.CONNECTIONS);
        }
    }

    Server server() {
        return server;
    }

    boolean over() {
        return call.isOver();
    }

    /**
     * Whether the server may have read of the request, so that it may run: a server may begin before it has read a long
     * body.
     */
    boolean mayBeRead() {
        return call.isConnected();
    }

    /** The prompt has been read: its tokens weigh on the server no more. */
    void promptRead() {
        if (flight != null) {
            server.state.promptPrefilled(flight);
        }
    }

    /** Milliseconds since the start. */
    double took() {
        return loop.now() - startedAt;
    }

    void cancel() {
        call.cancel();
        release();
    }

    private void release() {
        if (flight != null) {
            server.state.requestEnded(flight);
            flight = null;
        }
    }

    private final class Counting implements HttpCall.Listener {
        private final HttpCall.Listener listener;

        Counting(HttpCall.Listener listener) {
            this.listener = listener;
        }

        @Override
        public boolean head(int status, Headers headers) {
            return listener.head(status, headers);
        }

        @Override
        public void body(byte[] piece) {
            listener.body(piece);
        }

        @Override
        public void complete() {
            release();
            listener.complete();
        }

        @Override
        public void failed(HttpCall.Failure failure) {
            release();
            listener.failed(failure);
        }
    }
}
