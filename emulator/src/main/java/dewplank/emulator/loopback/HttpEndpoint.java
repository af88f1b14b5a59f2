package dewplank.emulator.loopback;

import dewplank.http.BadMessageException;
import dewplank.http.MessageWriter;
import dewplank.http.RequestParser;
import dewplank.net.Connection;
import dewplank.net.Listener;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** The server's side of one HTTP/1.1 connection, with one request at a time. Called on the loop's thread. */
public abstract class HttpEndpoint implements Listener.Accepted {
    /** Where the connection is in its exchanges; whether it has closed is the {@link Connection}'s to say. */
    private enum State {
        NOT_ACCEPTED,
        /** No complete request has arrived since the last response. */
        AWAITING_REQUEST,
        /** The response to a request is not complete; further bytes are not read. */
        RESPONDING;

        private boolean canBecome(State next) {
            return switch (this) {
                case NOT_ACCEPTED, RESPONDING -> next == AWAITING_REQUEST;
                case AWAITING_REQUEST -> next == RESPONDING;
            };
        }
    }

    private final RequestParser parser = new RequestParser();
    private Connection connection;
    private State state = State.NOT_ACCEPTED;

    /** A complete request has arrived; {@link #answer} responds to it, at once or later. */
    protected abstract void request(RequestParser request);

    /** The connection was accepted. */
    protected void opened() {}

    /** The peer closed the connection, or it broke; not called after {@link #close}. */
    protected void ended() {}

    /** Whether received bytes are read; a machine that vanished drops them. */
    protected boolean listens() {
        return true;
    }

    @Override
    public final void accepted(Connection accepted) {
        connection = accepted;
        become(State.AWAITING_REQUEST);
        opened();
    }

    @Override
    public final void received(ByteBuffer bytes) {
        if (!listens()) {
            bytes.position(bytes.limit());
            return;
        }
        try {
            while (state == State.AWAITING_REQUEST && !connection.isClosed() && parser.feed(bytes)) {
                become(State.RESPONDING);
                request(parser);
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
    public final void closed(IOException why) {
        ended();
    }

    /**
     * Sends a response, or its last bytes, and reads the next request; does nothing once the connection has closed.
     *
     * @throws IllegalStateException if no request waits for a response
     */
    protected final void answer(ByteBuffer message) {
        if (connection.isClosed()) {
            return;
        }
        become(State.AWAITING_REQUEST);
        connection.write(message, () -> {});
        parser.reset();
        connection.resume();
    }

    /** Sends bytes of a response; its last ones go to {@link #answer}. */
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

    private void become(State next) {
        if (!state.canBecome(next)) {
            throw new IllegalStateException("a connection can't change from " + state + " to " + next);
        }
        state = next;
    }
}
