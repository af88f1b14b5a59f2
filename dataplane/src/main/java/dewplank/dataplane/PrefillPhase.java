package dewplank.dataplane;

import dewplank.dataplane.Counters.Count;
import dewplank.exchange.HttpCall;
import dewplank.http.Headers;
import dewplank.net.TimerWheel;
import dewplank.routing.Mechanism;
import dewplank.routing.PrefillDecodePicker;
import dewplank.routing.RoutingParameters;
import dewplank.routing.TrackedServer;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;

/** Has a prompt read by a prefill server; ends with the KV cache's handle, or without one where none can take it. */
final class PrefillPhase {
    private static final RoutingParameters.Hedging HEDGING = RoutingParameters.DEFAULTS.hedging();
    private static final RoutingParameters.PrefillLoad PREFILL_LOAD = RoutingParameters.DEFAULTS.prefillLoad();

    private final GenerationRequest exchange;
    private ServerAttempt call;
    private TimerWheel.Timer patience;
    private int prefills;

    PrefillPhase(GenerationRequest exchange) {
        this.exchange = exchange;
    }

    /** Asks a server, or goes on without where none is there or none may be asked. */
    void begin() {
        Server server = choose();
        boolean free = prefills == 0;
        if (server == null || !free && !mayRepeat()) {
            exchange.decode();
            return;
        }
        send(server, free);
    }

    private void send(Server server, boolean free) {
        prefills++;
        exchange.sends += free ? 0 : 1;
        exchange.forwarder.counters().add(Count.PREFILLS);
        List<Headers.Field> further = List.of(new Headers.Field(HeaderNames.STAGE, "prefill"), priority());
        call = exchange.callTo(server, exchange.ownTokens(), further, new Answer(server, free));
        call.start(exchange.forwarder.connectTimeoutMs());
        double expected = PrefillDecodePicker.prefillMs(exchange.prefix.tokens())
                + exchange.forwarder.pairs().estimatedPrefillWaitMs(exchange.loop.now(), server.state);
        patience = exchange.loop.after(HEDGING.prefillMs() + HEDGING.prefillFactor() * expected, this::overdue);
    }

    private boolean mayRepeat() {
        return exchange.sends + 1 < exchange.route.maxAttempts() && exchange.charge();
    }

    private Server choose() {
        Forwarder forwarder = exchange.forwarder;
        List<TrackedServer> servers = forwarder.fleet().servers(exchange.service.name(), TrackedServer.Stage.PREFILL);
        TrackedServer picked =
                forwarder.pairs().pickPrefillServer(exchange.loop.now(), servers, exchange.prefix, exchange::untried);
        return picked == null ? null : forwarder.fleet().server(picked);
    }

    /** Short prompts are read first: they wait for little, and long ones hardly notice them. */
    private Headers.Field priority() {
        return exchange.priority((int) (exchange.ownTokens() / PREFILL_LOAD.tokensPerPriorityLevel()));
    }

    private void overdue() {
        if (exchange.over() || call.over() || !exchange.forwarder.policy().isEnabled(Mechanism.PATIENCE)) {
            return;
        }
        Server other = choose();
        if (other != null && mayRepeat()) {
            giveUpCall();
            send(other, false);
            return;
        }
        boolean waits =
                !exchange.mayBeReadAtDecode() && exchange.forwarder.policy().isEnabled(Mechanism.LONG_WAIT);
        double left = waits ? exchange.lastResortAt() - exchange.loop.now() : 0;
        if (left > 0) { // a decode server would hold its other streams up
            patience = exchange.loop.after(left, this::overdue);
        } else {
            giveUpCall();
            exchange.decode();
        }
    }

    private void giveUpCall() {
        exchange.forwarder.counters().add(Count.TIMEOUTS);
        exchange.forwarder.counters().add(Count.PREFILL_FAILURES);
        call.cancel();
        exchange.observe(call.server(), false);
    }

    private void again() {
        exchange.forwarder.counters().add(Count.PREFILL_FAILURES);
        begin();
    }

    /** Ends the call under way. */
    void cancel() {
        if (call != null) {
            patience.cancel();
            call.cancel();
        }
    }

    private final class Answer implements HttpCall.Listener {
        private final Server server;
        private final boolean free;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private Headers headers;

        Answer(Server server, boolean free) {
            this.server = server;
            this.free = free;
        }

        @Override
        public boolean head(int answerStatus, Headers answerHeaders) {
            status = answerStatus;
            headers = answerHeaders;
            return exchange.isOwn(answerHeaders);
        }

        @Override
        public void body(byte[] piece) {
            body.writeBytes(piece);
        }

        @Override
        public void complete() {
            patience.cancel();
            if (ProxiedRequest.notRun(status, headers)) {
                rejected();
                return;
            }
            Optional<PrefillResponse> answer =
                    status == 200 ? PrefillResponse.parse(body.toByteArray()) : Optional.empty();
            exchange.observe(server, answer.isPresent());
            if (answer.isEmpty()) {
                again();
                return;
            }
            double expected = PrefillDecodePicker.prefillMs(exchange.ownTokens());
            server.state.recordQueueDelay(exchange.loop.now(), call.took() - expected);
            exchange.readAt = exchange.loop.now();
            exchange.forwarder.counters().add(Count.PREFILL_MS, (long) (exchange.readAt - exchange.arrivedAt));
            exchange.handover.keep(new KvHandle(server, answer.get().handle()));
            exchange.decode();
        }

        private void rejected() {
            exchange.turnedAway(server, status);
            if (free) { // one that is rejected counts
                exchange.sends++;
                exchange.chargeLate();
            }
            again();
        }

        @Override
        public void failed(HttpCall.Failure failure) {
            patience.cancel();
            boolean taken = exchange.failed(server, failure);
            if (!taken) {
                prefills--;
                exchange.sends -= free ? 0 : 1;
            }
            again();
        }
    }
}
