package dewplank.dataplane;

import dewplank.dataplane.Counters.Count;
import dewplank.exchange.HttpCall;
import dewplank.http.Headers;
import dewplank.net.TimerWheel;
import dewplank.routing.EventSplitter;
import dewplank.routing.Mechanism;
import dewplank.routing.PrefillDecodePicker;
import dewplank.routing.RoutingParameters;
import dewplank.routing.TrackedServer;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Has a decode server run the request and passes its stream on by whole events; continues it at another server where
 * the route allows that and nothing would be repeated.
 */
final class DecodePhase {
    private static final RoutingParameters.Hedging HEDGING = RoutingParameters.DEFAULTS.hedging();

    private final GenerationRequest exchange;
    private final EventSplitter events = new EventSplitter();
    private ServerAttempt call;
    private TimerWheel.Timer patience;
    private boolean begun;

    DecodePhase(GenerationRequest exchange) {
        this.exchange = exchange;
    }

    /** Whether a part of the stream has gone to the client. */
    boolean begun() {
        return begun;
    }

    /** Sends the request to a decode server, or gives it up where none is there or none may be sent to. */
    void begin() {
        if (exchange.over()) {
            return;
        }
        Server server = choose();
        if (server == null) {
            exchange.forwarder.counters().add(Count.NO_SERVER);
        }
        if (server == null || !exchange.takeSend()) {
            giveUp();
            return;
        }
        begin(server);
    }

    private void begin(Server server) {
        exchange.sends++;
        List<Headers.Field> further = new ArrayList<>();
        further.add(exchange.priority(exchange.route.priority()));
        KvHandle given = exchange.handover.offer();
        if (given != null) {
            further.add(new Headers.Field(HeaderNames.KV_FROM, given.location()));
        } else {
            exchange.forwarder.counters().add(Count.DIRECT);
        }
        if (events.lastEventId() != null) {
            further.add(new Headers.Field(HeaderNames.LAST_EVENT_ID, events.lastEventId()));
        }
        long tokens = given == null ? exchange.ownTokens() : 0;
        call = exchange.callTo(server, tokens, further, new Stream(server, given != null));
        call.start(exchange.forwarder.connectTimeoutMs());
        watchSilence();
    }

    private Server choose() {
        Forwarder forwarder = exchange.forwarder;
        List<TrackedServer> servers = forwarder.fleet().servers(exchange.service.name(), TrackedServer.Stage.DECODE);
        boolean mayTry = exchange.repeatable() && exchange.sends + 1 < exchange.route.maxAttempts();
        TrackedServer picked = forwarder
                .pairs()
                .pickDecodeServer(
                        exchange.loop.now(),
                        servers,
                        exchange.prefix,
                        exchange.handover.zone(),
                        s -> forwarder.fleet().server(s).pool.size() > 0,
                        exchange::untried,
                        mayTry);
        return picked == null ? null : forwarder.fleet().server(picked);
    }

    /** Whether another server may continue, or begin, the stream. */
    private boolean repeatable() {
        return exchange.repeatable() && events.isResumable();
    }

    private boolean mayResume() {
        return repeatable() && exchange.sends < exchange.route.maxAttempts();
    }

    private void watchSilence() {
        stopPatience();
        if (repeatable() && exchange.forwarder.policy().isEnabled(Mechanism.PATIENCE)) {
            double expected =
                    begun ? 0 : HEDGING.firstEventFactor() * PrefillDecodePicker.prefillMs(exchange.prefix.tokens());
            patience = exchange.loop.after(HEDGING.streamMs() + expected, this::silent);
        }
    }

    private void stopPatience() {
        if (patience != null) {
            patience.cancel();
        }
    }

    /** Nothing has come for long, and the stream may be continued elsewhere. */
    private void silent() {
        if (exchange.over() || call.over()) {
            return;
        }
        Server other = choose();
        if (other == null || other == call.server() || !exchange.takeSend()) {
            return; // nobody else may go on: it is waited for
        }
        exchange.forwarder.counters().add(Count.TIMEOUTS);
        exchange.mayHaveRun |= call.mayBeRead();
        call.cancel();
        exchange.observe(call.server(), false);
        restart();
        begin(other);
    }

    /** Whether the request has begun to be sent and is not answered. */
    boolean underWay() {
        return call != null && !call.over() && call.mayBeRead();
    }

    /** Continues behind the last whole event at another server. */
    private void resume() {
        restart();
        begin();
    }

    private void restart() {
        exchange.handover.free();
        events.discardIncompleteEvent();
        if (begun) {
            exchange.forwarder.counters().add(Count.STREAMS_RESUMED);
        }
    }

    private void giveUp() {
        stopPatience();
        exchange.handover.free();
        if (begun) {
            exchange.breakOff();
        } else if (exchange.mayHaveRun) {
            exchange.fail(502);
        } else {
            exchange.refuse();
        }
    }

    /** Ends the call under way. */
    void cancel() {
        stopPatience();
        if (call != null) {
            call.cancel();
        }
    }

    private final class Stream implements HttpCall.Listener {
        private final Server server;
        private final boolean handedOver;
        private final ByteArrayOutputStream failure = new ByteArrayOutputStream();
        private int status;
        private Headers headers;

        Stream(Server server, boolean handedOver) {
            this.server = server;
            this.handedOver = handedOver;
        }

        private boolean streams() {
            return ProxiedRequest.wholeSuccess(status, headers);
        }

        @Override
        public boolean head(int answerStatus, Headers answerHeaders) {
            if (!exchange.isOwn(answerHeaders)) {
                return false;
            }
            status = answerStatus;
            headers = answerHeaders;
            if (streams()) {
                exchange.handover.taken();
            }
            return true;
        }

        @Override
        public void body(byte[] piece) {
            if (!streams()) {
                failure.writeBytes(piece);
                return;
            }
            exchange.mayHaveRun = true;
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
                exchange.forwarder.counters().add(Count.DECODE_MS, (long) (exchange.loop.now() - exchange.readAt));
                exchange.client.beginAnswer(status, headers.endToEnd());
            }
            exchange.client.writePart(whole);
        }

        @Override
        public void complete() {
            stopPatience();
            if (ProxiedRequest.notRun(status, headers)) {
                rejected();
                return;
            }
            exchange.mayHaveRun = true;
            if (!streams()) {
                failedAnswer();
            } else if (isCutOff()) {
                exchange.observe(server, false);
                broken();
            } else {
                exchange.observe(server, true);
                pieces(events.drainIncompleteEvent());
                endStream();
            }
        }

        /**
         * Whether the connection's end, which is the only end of an answer without a length, came in the middle of an
         * event or before the first: then it is a break.
         */
        private boolean isCutOff() {
            boolean framed = headers.get("Content-Length") != null || headers.get("Transfer-Encoding") != null;
            return !framed && !exchange.isHead() && (!begun || events.isMidEvent());
        }

        private void failedAnswer() {
            exchange.observe(server, status >= 300 && status < 500);
            boolean last = ProxiedRequest.finalFailure(status);
            if (!last && mayResume()) {
                resume();
            } else if (begun) {
                exchange.breakOff();
            } else if (last || status == 500 || status == 504) {
                exchange.pass(status, headers.endToEnd(), failure.toByteArray());
            } else {
                exchange.fail(502);
            }
        }

        private void endStream() {
            if (!begun) {
                exchange.pass(status, headers.endToEnd(), new byte[0]);
                return;
            }
            exchange.client.endAnswer();
            exchange.finished();
        }

        private void rejected() {
            exchange.turnedAway(server, status);
            if (handedOver) {
                exchange.forwarder.counters().add(Count.HANDOVER_FAILURES);
            }
            exchange.handover.free();
            if (exchange.sends < exchange.route.maxAttempts()) {
                begin();
            } else {
                giveUp();
            }
        }

        @Override
        public void failed(HttpCall.Failure how) {
            stopPatience();
            boolean ran = exchange.failed(server, how);
            exchange.mayHaveRun |= ran;
            if (ran) {
                broken();
                return;
            }
            exchange.sends--;
            exchange.handover.notSent();
            begin();
        }

        private void broken() {
            if (mayResume()) {
                resume();
            } else {
                exchange.fail(502); // or breaks off what has begun
            }
        }
    }
}
