package dewplank.emulator.loopback;

import dewplank.http.BadMessageException;
import dewplank.http.MessageWriter;
import dewplank.http.RequestParser;
import dewplank.net.Connection;
import dewplank.net.Listener;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** The server's side of an HTTP/1.1 connection that handles one request at a time. Called on the loop's thread. */
public abstract class HttpEndpoint implements Listener.Accepted {
    /** The state of the request handling; {@link Connection} tracks whether the connection has closed. */
    private enum State {
        NOT_ACCEPTED,
        /** No complete request has been received since the last response. */
        AWAITING_REQUEST,
        /** The response to a request is not yet complete; no further bytes are read. */
        RESPONDING;

        private boolean canChangeTo(State next) {
            return switch (this) {
                case NOT_ACCEPTED, RESPONDING -> next == AWAITING_REQUEST;
                case AWAITING_REQUEST -> next == RESPONDING;
            };
        }
    }

    private final RequestParser parser = new RequestParser();
    private Connection connection;
    private State state = State.NOT_ACCEPTED;

    /** Handles a complete request; {@link #respond} sends the response, either during this call or later. */
    protected abstract void onRequest(RequestParser request);

    /** Called when the connection was accepted. */
    protected void onAccepted() {}

    /** Called when the peer closed the connection or it failed; not called after {@link #close}. */
    protected void onClosed() {}

    /** Whether received bytes are processed; a vanished machine discards them. */
    protected boolean isReceiving() {
        return true;
    }

    @Override
    public final void accepted(Connection accepted) {
        connection = accepted;
        changeState(State.AWAITING_REQUEST);
        onAccepted();
    }

    @Override
    public final void received(ByteBuffer bytes) {
        if (!isReceiving()) {
            bytes.position(bytes.limit());
            return;
        }
        try {
            while (state == State.AWAITING_REQUEST && !connection.isClosed() && parser.feed(bytes)) {
                changeState(State.RESPONDING);
                onRequest(parser);
            }
        } catch (BadMessageException e) {
            connection.write(
                    MessageWriter.response(e.status())
                            .header("Connection", "close")
                            .body(e.getMessage().getBytes(StandardCharsets.UTF_8)),
                    () -> {});
            connection.closeGracefully();
        }
    }

    @Override
    public final void closed(IOException cause) {
        onClosed();
    }

    /**
     * Sends a response, or its last bytes, and reads the next request; does nothing if the connection has closed.
     *
     * @throws IllegalStateException if no request is awaiting a response
     */
    protected final void respond(ByteBuffer message) {
        if (connection.isClosed()) {
            return;
        }
        changeState(State.AWAITING_REQUEST);
        connection.write(message, () -> {});
        parser.reset();
        connection.resume();
    }

    /** Sends a part of a response; {@link #respond} must send its last part. */
    protected final void write(ByteBuffer part) {
        connection.write(part, () -> {});
    }

    /** Closes the connection. */
    protected final void close() {
        connection.close();
    }

    /** Whether the connection was accepted and has not closed. */
    protected final boolean open() {
        return state != State.NOT_ACCEPTED && !connection.isClosed();
    }

    private void changeState(State next) {
        if (!state.canChangeTo(next)) {
            throw new IllegalStateException("a connection can't change from " + state + " to " + next);
        }
        state = next;
    }
}
