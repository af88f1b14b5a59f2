package dewplank.dataplane;

import dewplank.configuration.Route;
import dewplank.configuration.Service;
import dewplank.dataplane.Counters.Count;
import dewplank.exchange.HttpCall;
import dewplank.exchange.InboundConnection;
import dewplank.http.Headers;
import dewplank.net.TimerWheel;
import dewplank.routing.Mechanism;
import dewplank.routing.RoutingParameters;
import dewplank.routing.ServerPicker;
import dewplank.routing.TrackedServer;
import java.io.ByteArrayOutputStream;
import java.util.List;

/** A request that one server answers whole. */
final class UnaryRequest extends ProxiedRequest {
    private static final RoutingParameters.Hedging HEDGING = RoutingParameters.DEFAULTS.hedging();

    private ServerAttempt call;
    private TimerWheel.Timer patience;

    UnaryRequest(
            Forwarder forwarder,
            InboundConnection.Request request,
            InboundConnection client,
            Route route,
            Service service,
            double arrivedAt) {
        super(forwarder, request, client, route, service, arrivedAt);
    }

    @Override
    void send() {
        if (over()) {
            return;
        }
        Server server = choose();
        if (server == null) {
            forwarder.counters().add(Count.NO_SERVER);
        }
        if (server == null || !takeSend()) {
            giveUp();
            return;
        }
        send(server);
    }

    private void send(Server server) {
        sends++;
        call = callTo(server, 0, List.of(), new Answer(server));
        call.start(forwarder.connectTimeoutMs());
        if (repeatable() && forwarder.policy().isEnabled(Mechanism.PATIENCE)) {
            patience = loop.after(HEDGING.plainTargetFactor() * route.targetLatencyMs(), this::overdue);
        }
    }

    private Server choose() {
        List<TrackedServer> servers = forwarder.fleet().servers(service.name());
        ServerPicker.PickArguments query =
                ServerPicker.PickArguments.byInFlight(servers, this::untried, repeatable() && sends == 0);
        TrackedServer picked = forwarder.choice().pick(loop.now(), query);
        if (picked == null) { // none that is new: again at one that was tried
            picked = forwarder
                    .choice()
                    .pick(loop.now(), ServerPicker.PickArguments.byInFlight(servers, s -> true, false));
        }
        return picked == null ? null : forwarder.fleet().server(picked);
    }

    private void giveUp() {
        if (mayHaveRun) {
            fail(502);
        } else {
            refuse();
        }
    }

    /** No answer for long: the request may be repeated elsewhere. */
    private void overdue() {
        if (over() || call.over()) {
            return;
        }
        Server other = choose();
        if (other == null || other == call.server() || !takeSend()) { // nobody else may go on: it is waited for
            return;
        }
        forwarder.counters().add(Count.TIMEOUTS);
        mayHaveRun |= call.mayBeRead();
        call.cancel();
        observe(call.server(), false);
        send(other);
    }

    @Override
    boolean runMayBeUnderWay() {
        return call != null && !call.over() && call.mayBeRead();
    }

    @Override
    void cancelCalls() {
        if (patience != null) {
            patience.cancel();
        }
        if (call != null) {
            call.cancel();
        }
    }

    private final class Answer implements HttpCall.Listener {
        private final Server server;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private Headers headers;

        Answer(Server server) {
            this.server = server;
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
            stopWaiting();
            if (notRun(status, headers)) {
                turnedAway(server, status);
                send();
                return;
            }
            mayHaveRun = true;
            boolean whole = wholeSuccess(status, headers);
            observe(server, whole || status >= 300 && status < 500);
            if (whole || finalFailure(status)) {
                pass(status, headers.endToEnd(), body.toByteArray());
            } else if (repeatable() && sends < route.maxAttempts()) {
                send();
            } else if (status == 500 || status == 504) {
                pass(status, headers.endToEnd(), body.toByteArray());
            } else {
                fail(502);
            }
        }

        @Override
        public void failed(HttpCall.Failure failure) {
            stopWaiting();
            boolean ran = UnaryRequest.this.failed(server, failure);
            mayHaveRun |= ran;
            sends -= ran ? 0 : 1;
            if (!ran || repeatable()) {
                send();
            } else {
                fail(502);
            }
        }

        private void stopWaiting() {
            if (patience != null) {
                patience.cancel();
            }
        }
    }
}
