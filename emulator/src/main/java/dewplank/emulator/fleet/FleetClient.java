package dewplank.emulator.fleet;

import dewplank.emulator.loopback.HttpClient;
import dewplank.http.MessageWriter;
import dewplank.http.ResponseParser;
import dewplank.net.EventLoop;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** Stands in for clients: each try goes out on a connection of its own, and the history has it. */
public final class FleetClient {
    private final EventLoop loop;
    private final History history;
    private final AtomicLong tries = new AtomicLong();

    FleetClient(EventLoop loop, History history) {
        this.loop = loop;
        this.history = history;
    }

    /** Sends a try to a data plane. */
    public ClientAttempt send(FleetMachine to, ClientRequest request) {
        Sending sending = new Sending(String.format("%016x", tries.incrementAndGet()), request);
        loop.execute(() -> sending.start(to));
        return sending.handle;
    }

    private static ByteBuffer message(String id, ClientRequest r) {
        MessageWriter message = MessageWriter.request(
                        r.method(), r.target(), r.route().host())
                .header(WireFields.ATTEMPT_ID, id)
                .header(WireFields.REMAINING_TIME, Integer.toString(r.waitMs()));
        if (r.route().kind().streaming()) {
            message.header(WireFields.MODEL_NAME, "m")
                    .header(WireFields.TOKEN_COUNTS, "1050," + r.events())
                    .header(WireFields.PROMPT_PREFIX, r.prompt());
        }
        return message.body(r.body().getBytes(StandardCharsets.UTF_8));
    }

    private final class Sending implements HttpClient.Answered {
        private final ClientAttempt handle;
        private final ClientRequest request;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private ResponseParser head;
        private HttpClient client;
        private HttpClient.Call call;
        private boolean over;

        Sending(String id, ClientRequest request) {
            this.request = request;
            this.handle = new ClientAttempt(id, () -> loop.execute(() -> giveUp(true)));
        }

        void start(FleetMachine to) {
            history.add(new FleetEvent.AttemptSent(loop.now(), to.node(), handle.id(), request));
            client = new HttpClient(loop, to.front(), 1);
            call = client.call(message(handle.id(), request), this);
            loop.after(request.waitMs(), () -> giveUp(false));
        }

        private void giveUp(boolean left) {
            if (!over) {
                call.cancel();
                end(null, left);
            }
        }

        @Override
        public boolean takesPieces() {
            return true;
        }

        @Override
        public void piece(ResponseParser parser, byte[] bytes) {
            head = parser;
            body.writeBytes(bytes);
            if (request.route().kind().streaming()) {
                history.add(new FleetEvent.StreamBytes(
                        loop.now(),
                        handle.id(),
                        parser.status(),
                        parser.headers().get(WireFields.SEAL),
                        new String(bytes, StandardCharsets.UTF_8)));
            }
        }

        @Override
        public void answered(ResponseParser parser, byte[] none) {
            end(parser, false);
        }

        private void end(ResponseParser whole, boolean left) {
            over = true;
            ResponseParser seen = whole == null ? head : whole;
            int status = seen == null ? 0 : seen.status();
            String seal = seen == null ? null : seen.headers().get(WireFields.SEAL);
            String retryAfter = seen == null ? null : seen.headers().get(WireFields.RETRY_AFTER);
            String text = body.toString(StandardCharsets.UTF_8);
            history.add(new FleetEvent.AttemptEnded(loop.now(), handle.id(), status, seal, text, whole != null, left));
            handle.ended().complete(new ClientAttempt.Outcome(status, seal, retryAfter, text, whole != null));
            client.close();
        }
    }
}
