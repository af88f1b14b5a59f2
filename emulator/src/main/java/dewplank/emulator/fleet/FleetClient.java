package dewplank.emulator.fleet;

import dewplank.emulator.loopback.HttpClient;
import dewplank.http.MessageWriter;
import dewplank.http.ResponseParser;
import dewplank.net.EventLoop;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/** Simulates clients: sends each attempt on a new connection and records it in the history. */
public final class FleetClient {
    private final EventLoop loop;
    private final History history;
    private final AtomicLong attemptCount = new AtomicLong();

    FleetClient(EventLoop loop, History history) {
        this.loop = loop;
        this.history = history;
    }

    /** Sends an attempt to a data plane; may be called from any thread. */
    public ClientAttempt send(FleetMachine to, ClientRequest request) {
        Exchange exchange = new Exchange(nextAttemptId(), request);
        loop.execute(() -> exchange.start(to));
        return exchange.attempt;
    }

    /** Returns a unique id for an attempt; may be called from any thread. */
    String nextAttemptId() {
        return String.format("%016x", attemptCount.incrementAndGet());
    }

    /** Encodes an attempt as an HTTP request. */
    static ByteBuffer message(String id, ClientRequest request) {
        MessageWriter message = MessageWriter.request(
                        request.method(), request.target(), request.route().host())
                .header(WireFields.ATTEMPT_ID, id)
                .header(WireFields.REMAINING_TIME, Integer.toString(request.timeoutMs()))
                .header(
                        WireFields.AUTHORIZATION,
                        request.accessKey().map("Bearer "::concat).orElse(null));
        if (request.route().kind().streaming()) {
            message.header(WireFields.MODEL_NAME, "m")
                    .header(WireFields.TOKEN_COUNTS, "1050," + request.events())
                    .header(WireFields.PROMPT_PREFIX, request.prompt().orElse(null));
        }
        return message.body(request.body().getBytes(StandardCharsets.UTF_8));
    }

    private final class Exchange implements HttpClient.StreamHandler {
        private final ClientAttempt attempt;
        private final ClientRequest request;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private Optional<ResponseParser> head = Optional.empty();
        private HttpClient client;
        private HttpClient.Call call;
        private boolean isDone;
        private boolean isComplete;

        Exchange(String id, ClientRequest request) {
            this.request = request;
            this.attempt = new ClientAttempt(id, () -> loop.execute(() -> cancel(true)));
        }

        void start(FleetMachine to) {
            history.add(new FleetEvent.AttemptSent(loop.now(), to.node(), attempt.id(), request));
            client = new HttpClient(loop, to.front(), 1);
            call = client.call(message(attempt.id(), request), this);
            loop.after(request.timeoutMs(), () -> cancel(false));
        }

        /** {@code isAbandoned} is true if the client closes the connection, and false if its timeout has expired. */
        private void cancel(boolean isAbandoned) {
            if (!isDone) {
                call.cancel();
                end(isAbandoned);
            }
        }

        @Override
        public void onBodyPart(ResponseParser parser, byte[] bytes) {
            head = Optional.of(parser);
            body.writeBytes(bytes);
            if (request.route().kind().streaming()) {
                history.add(new FleetEvent.StreamBytes(
                        loop.now(),
                        attempt.id(),
                        parser.status(),
                        Optional.ofNullable(parser.headers().get(WireFields.SEAL)),
                        new String(bytes, StandardCharsets.UTF_8)));
            }
        }

        @Override
        public void onEnd(Optional<HttpClient.Response> response) {
            if (response.isPresent()) {
                head = response.map(HttpClient.Response::head);
                isComplete = true;
            }
            end(false);
        }

        private void end(boolean isAbandoned) {
            isDone = true;
            int status = head.map(ResponseParser::status).orElse(0);
            Optional<String> seal = header(WireFields.SEAL);
            String text = body.toString(StandardCharsets.UTF_8);
            history.add(
                    new FleetEvent.AttemptEnded(loop.now(), attempt.id(), status, seal, text, isComplete, isAbandoned));
            attempt.ended()
                    .complete(
                            new ClientAttempt.Outcome(status, seal, header(WireFields.RETRY_AFTER), text, isComplete));
            client.close();
        }

        private Optional<String> header(String name) {
            return head.map(response -> response.headers().get(name));
        }
    }
}
