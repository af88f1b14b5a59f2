package dewplank.emulator.loopback;

import dewplank.http.BadMessageException;
import dewplank.http.MessageWriter;
import dewplank.http.RequestParser;
import dewplank.net.Connection;
import dewplank.net.Listener;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** A server's side of one connection, with one request at a time on it. Also the load tool's stand-in target. */
public abstract class HttpEndpoint implements Listener.Accepted {
    private final RequestParser parser = new RequestParser();
    private Connection connection;
    private boolean isBusy;

    /** A request is whole. It is answered by {@link #answer}, now or later, or never. */
    protected abstract void request(RequestParser request);

    protected void opened() {}

    protected void ended() {}

    /** Whether what comes in is looked at; a machine that has gone silent does not. */
    protected boolean listens() {
        return true;
    }

    @Override
    public final void accepted(Connection accepted) {
        connection = accepted;
        opened();
    }

    @Override
    public final void received(ByteBuffer bytes) {
        if (!listens()) {
            bytes.position(bytes.limit());
            return;
        }
        try {
            while (!isBusy && !connection.isClosed() && parser.feed(bytes)) {
                isBusy = true;
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

    /** Ends the request with this answer, and reads the next. */
    protected final void answer(ByteBuffer message) {
        if (connection.isClosed()) {
            return;
        }
        connection.write(message, () -> {});
        parser.reset();
        isBusy = false;
        connection.resume();
    }

    /** Bytes of an answer that goes on; its last ones go to {@link #answer}. */
    protected final void write(ByteBuffer part) {
        connection.write(part, () -> {});
    }

    protected final void close() {
        connection.close();
    }

    protected final boolean open() {
        return connection != null && !connection.isClosed();
    }
}
