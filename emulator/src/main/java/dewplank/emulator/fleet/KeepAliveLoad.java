package dewplank.emulator.fleet;

import dewplank.http.BadMessageException;
import dewplank.http.MessageParser;
import dewplank.http.ResponseParser;
import dewplank.net.Connection;
import dewplank.net.EventLoop;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Runs clients that each use one persistent connection to a data plane and send one request after another on it. When
 * the connection ends, the client opens another one. Requests are not retried. The state is confined to the loop's
 * thread; the public methods may be called from any thread.
 */
public final class KeepAliveLoad {
    private static final double PAUSE_MS = 5;
    private static final double RECONNECT_MS = 50;
    private static final long STOP_TIMEOUT_S = 20;

    private final EventLoop loop;
    private final History history;
    private final FleetClient client;
    private final List<CompletableFuture<Void>> ends = new ArrayList<>();
    private volatile boolean isStopping;

    /** Starts one client for each machine and request. */
    KeepAliveLoad(
            EventLoop loop,
            History history,
            FleetClient client,
            List<FleetMachine> machines,
            List<ClientRequest> requests) {
        this.loop = loop;
        this.history = history;
        this.client = client;
        for (FleetMachine machine : machines) {
            for (ClientRequest request : requests) {
                PersistentClient connection = new PersistentClient(machine, request);
                ends.add(connection.end);
                loop.execute(connection::connect);
            }
        }
    }

    /** Stops the clients and waits until all attempts have ended. */
    public void stop() throws InterruptedException, ExecutionException, TimeoutException {
        isStopping = true;
        CompletableFuture.allOf(ends.toArray(new CompletableFuture<?>[0])).get(STOP_TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** A client with its current connection and the attempt in progress. */
    private final class PersistentClient implements Connection.Handler {
        private final FleetMachine machine;
        private final ClientRequest request;
        private final CompletableFuture<Void> end = new CompletableFuture<>();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private ResponseParser parser;
        /** The bytes of the current attempt that the system has not accepted. */
        private ByteBuffer unsent;

        private Connection connection;
        private Optional<String> attemptId = Optional.empty();
        private boolean isReused;

        PersistentClient(FleetMachine machine, ClientRequest request) {
            this.machine = machine;
            this.request = request;
        }

        void connect() {
            if (isStopping) {
                end.complete(null);
                return;
            }
            isReused = false;
            Connection.open(loop, null, machine.front(), this, this::onConnected, failure -> reconnect());
        }

        private void onConnected(Connection open) {
            connection = open;
            send();
        }

        private void reconnect() {
            loop.after(RECONNECT_MS, this::connect);
        }

        private void send() {
            if (connection.isClosed()) {
                return; // the close has been handled already
            }
            if (isStopping) {
                connection.close();
                end.complete(null);
                return;
            }
            String id = client.nextAttemptId();
            attemptId = Optional.of(id);
            parser = new ResponseParser(MessageParser.MAX_BODY_BYTES);
            body.reset();
            history.add(new FleetEvent.AttemptSent(loop.now(), machine.node(), id, request));
            if (isReused) {
                history.add(new FleetEvent.ConnectionReused(loop.now(), id));
            }
            unsent = FleetClient.message(id, request);
            connection.write(unsent, () -> {});
            loop.after(request.timeoutMs(), () -> timeOut(id));
        }

        private void timeOut(String id) {
            if (attemptId.filter(id::equals).isPresent()) {
                connection.close();
                endAttempt(false, true);
                reconnect();
            }
        }

        @Override
        public void received(ByteBuffer bytes) {
            if (attemptId.isEmpty()) {
                String text = StandardCharsets.UTF_8.decode(bytes).toString();
                history.add(new FleetEvent.UnexpectedBytes(loop.now(), machine.node(), text));
                connection.close();
                reconnect();
                return;
            }
            try {
                boolean isComplete = parser.feed(bytes);
                recordBody();
                if (isComplete) {
                    onResponseEnded();
                }
            } catch (BadMessageException e) {
                connection.close();
                endAttempt(false, false);
                reconnect();
            }
        }

        private void recordBody() {
            byte[] part = parser.takeBody();
            body.writeBytes(part);
            if (part.length > 0 && request.route().kind().streaming()) {
                history.add(new FleetEvent.StreamBytes(
                        loop.now(),
                        attemptId.orElseThrow(),
                        parser.status(),
                        header(WireFields.SEAL),
                        new String(part, StandardCharsets.UTF_8)));
            }
        }

        private void onResponseEnded() {
            endAttempt(true, false);
            if (parser.keepAlive()) {
                isReused = true;
                loop.after(PAUSE_MS, this::send);
            } else {
                connection.close();
                reconnect();
            }
        }

        @Override
        public void closed(IOException cause) {
            if (attemptId.isPresent()) {
                endAttempt(parser.completesAtEnd(cause, !unsent.hasRemaining()), false);
            }
            reconnect();
        }

        private void endAttempt(boolean isComplete, boolean isAbandoned) {
            history.add(new FleetEvent.AttemptEnded(
                    loop.now(),
                    attemptId.orElseThrow(),
                    parser.isHeadRead() ? parser.status() : 0,
                    header(WireFields.SEAL),
                    body.toString(StandardCharsets.UTF_8),
                    isComplete,
                    isAbandoned));
            attemptId = Optional.empty();
        }

        private Optional<String> header(String name) {
            return parser.isHeadRead() ? Optional.ofNullable(parser.headers().get(name)) : Optional.empty();
        }
    }
}
