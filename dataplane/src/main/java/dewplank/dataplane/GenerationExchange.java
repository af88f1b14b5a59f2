package dewplank.dataplane;

import dewplank.exchange.HttpCall;
import dewplank.exchange.InboundConnection;
import dewplank.http.Headers;
import dewplank.net.Wheel;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import dewplank.configuration.Route;
import dewplank.configuration.Service;
import dewplank.dataplane.Counters.Count;
import dewplank.routing.EventSplitter;
import dewplank.routing.PairChoice;
import dewplank.routing.PromptPrefix;
import dewplank.routing.ServerState;

/**
 * A generation: the prompt is prefilled at one server, its KV cache handed over to another, and the tokens streamed
 * from
 * there. Where no prefill server can take it the decode server prefills the prompt itself.
 */
final class GenerationExchange extends Exchange {
    private static final double PREFILL_PATIENCE_MS = 300;   // beyond the expected time, before another server is asked
    private static final double PATIENCE = 2;                // times the expected time
    private static final double SILENCE_MS = 700;            // of a stream that may be continued elsewhere
    private static final long TOKENS_PER_PRIORITY = 400;
    private static final int LEAST_URGENT = 9;

    private final PromptPrefix prefix;
    private final EventSplitter events = new EventSplitter();
    private ServerCall call;
    private Wheel.Timer patience;
    private KvHandle handle;
    private KvHandle offered;
    private int prefills;
    private boolean begun;
    private boolean running;   // the call is one that runs the request, not one that only reads its prompt

    GenerationExchange(Forwarder forwarder, InboundConnection.Request request, InboundConnection client, Route route,
                       Service service, double arrivedAt) {
        super(forwarder, request, client, route, service, arrivedAt);
        this.prefix = PromptPrefix.parse(request.headers().get(WireNames.PROMPT_PREFIX));
    }

    @Override
    void send() {
        if (prefix.tokens() == 0) {   // nothing to be read apart
            decode();
        } else {
            prefill();
        }
    }

    // ---- prefill --------------------------------------------------------------------------------------

    private void prefill() {
        Server server = choosePrefill();
        if (server == null) {
            decode();
            return;
        }
        boolean free = prefills == 0;
        if (!free && (sends + 1 >= route.maxAttempts() || !forwarder.mayRepeat(service.name()))) {
            decode();
            return;
        }
        prefills++;
        running = false;
        sends += free ? 0 : 1;
        tried.add(server.state.instanceId());
        forwarder.counters().add(Count.PREFILLS);
        List<Headers.Field> further = new ArrayList<>();
        further.add(new Headers.Field(WireNames.STAGE, "prefill"));
        further.add(prefillPriority());
        call = new ServerCall(loop, server, ownTokens(), message(server, further), new PrefillAnswer(server, free));
        call.start(CONNECT_TIMEOUT_MS);
        double expected = PairChoice.readingMs(prefix.tokens()) + PairChoice.prefillWait(loop.now(), server.state);
        patience = loop.after(PREFILL_PATIENCE_MS + PATIENCE * expected, this::prefillOverdue);
    }

    /** Tokens that are not shared: those before are likely kept where they were read. */
    private long ownTokens() {
        return prefix.tokens() - prefix.sharedTokens();
    }

    /** Short prompts are read first: they wait for little, and long ones hardly notice them. */
    private Headers.Field prefillPriority() {
        return priority((int) (ownTokens() / TOKENS_PER_PRIORITY));
    }

    private static Headers.Field priority(int rank) {
        return new Headers.Field(WireNames.PRIORITY, Integer.toString(Math.max(0, Math.min(LEAST_URGENT, rank))));
    }

    private Server choosePrefill() {
        List<ServerState> servers = forwarder.fleet().servers(service.name(), ServerState.Stage.PREFILL);
        ServerState picked = forwarder.pairs().prefill(loop.now(), servers, prefix, this::untried);
        return picked == null ? null : forwarder.fleet().server(picked);
    }

    private void prefillOverdue() {
        if (over() || call.over()) {
            return;
        }
        forwarder.counters().add(Count.TIMEOUTS);
        call.cancel();
        observe(call.server(), false);
        prefillFailed();
    }

    private void prefillFailed() {
        forwarder.counters().add(Count.PREFILL_FAILURES);
        prefill();
    }

    private final class PrefillAnswer implements HttpCall.Listener {
        private final Server server;
        private final boolean free;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private Headers headers;

        PrefillAnswer(Server server, boolean free) {
            this.server = server;
            this.free = free;
        }

        @Override
        public boolean head(int answerStatus, Headers answerHeaders) {
            status = answerStatus;
            headers = answerHeaders;
            return isOwn(answerHeaders);
        }

        @Override
        public void body(byte[] piece) {
            body.writeBytes(piece);
        }

        @Override
        public void complete() {
            patience.cancel();
            if (notRun(status, headers)) {
                turnedAway(server, status);
                if (free) {   // one that is rejected counts
                    sends++;
                    forwarder.countRepeat(service.name());
                }
                prefillFailed();
                return;
            }
            Optional<HandleAnswer> answer = status == 200 ? HandleAnswer.parse(body.toByteArray()) : Optional.empty();
            observe(server, answer.isPresent());
            if (answer.isEmpty()) {
                prefillFailed();
                return;
            }
            server.state.queued(loop.now(), call.took() - PairChoice.readingMs(ownTokens()));
            handle = new KvHandle(server, answer.get().handle());
            decode();
        }

        @Override
        public void failed(HttpCall.Failure failure) {
            patience.cancel();
            boolean taken = GenerationExchange.this.failed(server, failure);
            if (!taken) {
                prefills--;
                sends -= free ? 0 : 1;
            }
            prefillFailed();
        }
    }

    // ---- decode ---------------------------------------------------------------------------------------

    private void decode() {
        if (over()) {
            return;
        }
        Server server = chooseDecode();
        if (server == null || !takeSend()) {
            giveUp();
            return;
        }
        decode(server);
    }

    private void decode(Server server) {
        sends++;
        running = true;
        tried.add(server.state.instanceId());
        List<Headers.Field> further = new ArrayList<>();
        further.add(priority(route.priority()));
        KvHandle given = handle;
        if (given != null) {
            further.add(new Headers.Field(WireNames.KV_FROM, given.location()));
        } else {
            forwarder.counters().add(Count.DIRECT);
        }
        if (events.lastId() != null) {
            further.add(new Headers.Field(WireNames.LAST_EVENT_ID, events.lastId()));
        }
        handle = null;   // it is given once
        offered = given;
        call = new ServerCall(loop, server, given == null ? ownTokens() : 0, message(server, further),
            new Stream(server, given));
        call.start(CONNECT_TIMEOUT_MS);
        watchSilence();
    }

    private Server chooseDecode() {
        List<ServerState> servers = forwarder.fleet().servers(service.name(), ServerState.Stage.DECODE);
        boolean mayTry = repeatable() && sends + 1 < route.maxAttempts();
        String zone = handle == null ? null : handle.server().state.zone();
        ServerState picked = forwarder.pairs().decode(loop.now(), servers, prefix, zone, this::untried, mayTry);
        return picked == null ? null : forwarder.fleet().server(picked);
    }

    private void watchSilence() {
        stopPatience();
        if (repeatable()) {
            double expected = begun ? 0 : PATIENCE * PairChoice.readingMs(prefix.tokens());
            patience = loop.after(SILENCE_MS + expected, this::silent);
        }
    }

    /** Nothing has come for long, and the stream may be continued elsewhere. */
    private void silent() {
        if (over() || call.over()) {
            return;
        }
        Server other = chooseDecode();
        if (other == null || other == call.server() || !takeSend()) {   // nobody else may go on: it is waited for
            return;
        }
        forwarder.counters().add(Count.TIMEOUTS);
        mayHaveRun |= call.sent();
        call.cancel();
        observe(call.server(), false);
        restart();
        decode(other);
    }

    @Override
    boolean runMayBeUnderWay() {
        return running && call != null && !call.over() && call.sent();
    }

    /** Continues behind the last whole event at another server. */
    private void resume() {
        restart();
        decode();
    }

    private void restart() {
        freeHandle();
        events.restart();
        if (begun) {
            forwarder.counters().add(Count.STREAMS_RESUMED);
        }
    }

    private void giveUp() {
        stopPatience();
        freeHandle();
        if (begun) {
            breakOff();
        } else if (mayHaveRun) {
            fail(502);
        } else {
            refuse();
        }
    }

    private final class Stream implements HttpCall.Listener {
        private final Server server;
        private final KvHandle given;
        private final ByteArrayOutputStream failure = new ByteArrayOutputStream();
        private int status;
        private Headers headers;

        Stream(Server server, KvHandle given) {
            this.server = server;
            this.given = given;
        }

        private boolean streams() {
            return wholeSuccess(status, headers);
        }

        @Override
        public boolean head(int answerStatus, Headers answerHeaders) {
            status = answerStatus;
            headers = answerHeaders;
            if (isOwn(answerHeaders) && streams()) {
                offered = null;   // the decode server has it
            }
            return isOwn(answerHeaders);
        }

        @Override
        public void body(byte[] piece) {
            if (!streams()) {
                failure.writeBytes(piece);
                return;
            }
            mayHaveRun = true;
            pieces(events.feed(piece));
            watchSilence();
        }

        private void pieces(byte[] whole) {
            if (whole.length == 0) {
                return;
            }
            if (!begun) {
                begun = true;
                call.promptRead();
                client.begin(status, headers.endToEnd());
            }
            client.piece(whole);
        }

        @Override
        public void complete() {
            stopPatience();
            if (notRun(status, headers)) {
                rejected();
                return;
            }
            mayHaveRun = true;
            if (streams()) {
                observe(server, true);
                pieces(events.takeUnfinished());
                endStream();
                return;
            }
            observe(server, status >= 300 && status < 500);
            if (repeatable() && sends < route.maxAttempts() && !finalFailure(status)) {
                resume();
            } else if (begun) {
                breakOff();
            } else if (finalFailure(status) || status == 500 || status == 504) {
                pass(status, headers.endToEnd(), failure.toByteArray());
            } else {
                fail(502);
            }
        }

        private void endStream() {
            if (!begun) {
                pass(status, headers.endToEnd(), new byte[0]);
                return;
            }
            client.end();
            finished();
        }

        private void rejected() {
            turnedAway(server, status);
            if (given != null) {
                forwarder.counters().add(Count.HANDOVER_FAILURES);
            }
            freeHandle();
            if (sends < route.maxAttempts()) {
                decode();
            } else {
                giveUp();
            }
        }

        @Override
        public void failed(HttpCall.Failure how) {
            stopPatience();
            boolean ran = GenerationExchange.this.failed(server, how);
            mayHaveRun |= ran;
            if (!ran) {
                sends--;
                handle = given;
                offered = null;
                decode();
            } else if (repeatable() && sends < route.maxAttempts()) {
                resume();
            } else if (begun) {
                breakOff();
            } else {
                fail(502);
            }
        }
    }

    // ---- ends -----------------------------------------------------------------------------------------

    private void stopPatience() {
        if (patience != null) {
            patience.cancel();
        }
    }

    @Override
    boolean answering() {
        return begun;
    }

    @Override
    void cancelCalls() {
        stopPatience();
        if (call != null) {
            call.cancel();
        }
        freeHandle();
    }

    /** A KV cache that nobody will take, or that was offered and not seen to be taken, is given back. */
    private void freeHandle() {
        KvHandle kept = handle == null ? offered : handle;
        handle = null;
        offered = null;
        if (kept == null) {
            return;
        }
        kept.free(loop, forwarder.counters());
    }
}
