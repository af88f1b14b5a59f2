package dewplank.controlplane;

import dewplank.configuration.ChangeRequest;
import dewplank.configuration.ChangeResult;
import dewplank.exchange.InboundConnection;
import dewplank.exchange.PathRouter;
import dewplank.exchange.Responder;
import dewplank.net.EventLoop;
import dewplank.register.Outcome;
import dewplank.settings.ResultCode;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The operators' interface over HTTP: paths, redirects to a control plane with a quorum, and the calls in flight.
 *
 * <p>Connections call it on the loop's thread only. Each call is answered at most once; one whose caller has gone is
 * not answered.
 */
final class OperatorApi implements InboundConnection.Service {
    /** Also for a body of 4 MiB over a slow link. */
    static final double MAX_IDLE_MS = 60_000;

    /** A configuration's limit and some more, so that a body slightly beyond it is answered as invalid. */
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024 + 64 * 1024;

    private interface Call {
        void run(InboundConnection.Request request, Responder caller, List<String> parameters);
    }

    /** Read-only views of this control plane, as JSON. */
    interface Views {
        String members();

        String duties();

        String servers();

        /** One server; empty where the list has no such instance. */
        Optional<String> server(String instanceId);

        String status();

        /** Which configuration each data plane acts on, as far as this control plane knows. */
        String dataPlanes();
    }

    /** The configuration in the register. */
    interface Configurations {
        /** Changes it; the outcome's answer is a {@link ChangeResult}. */
        void change(ChangeRequest change, double withinMs, Consumer<Outcome<ChangeResult>> then);

        /** Reads the newest at a quorum. */
        void read(double withinMs, Consumer<Outcome<ChangeResult>> then);
    }

    /** Whether this control plane may answer for the fleet, and which others an operator may call instead. */
    interface Redirects {
        /** Whether a quorum of acceptors was reached recently, so that a call may succeed. */
        boolean hasQuorum();

        /** Whether the first acceptors, without a disk, have all ended before this process knew of a chosen value. */
        boolean areFoundersLost();

        /**
         * Where a control plane that recently had a quorum takes operators' calls, as IP:PORT; empty if none is known.
         */
        Optional<String> quorateEndpoint();

        /** Where all control planes that are known take operators' calls, those that are up first. */
        List<String> knownEndpoints();
    }

    private final ConfigurationCalls configurationCalls;
    private final Redirects redirects;
    private final Views views;
    private final PathRouter<Call> router = new PathRouter<>();
    private final Set<InboundConnection> connections = new HashSet<>();
    private final Set<Responder> callsInFlight = new HashSet<>();
    private boolean closing;

    OperatorApi(Configurations configuration, Redirects redirects, Views views) {
        this.configurationCalls = new ConfigurationCalls(configuration);
        this.redirects = redirects;
        this.views = views;
        router.path("configuration")
                .on("GET", (request, caller, parameters) -> ifCurrent(request, caller, () -> read(caller)))
                .on(
                        "PUT",
                        (request, caller, parameters) ->
                                ifCurrent(request, caller, () -> change(request, caller, false)))
                .on(
                        "PATCH",
                        (request, caller, parameters) ->
                                ifCurrent(request, caller, () -> change(request, caller, true)));
        router.path("members").on("GET", (request, caller, parameters) -> document(caller, views.members()));
        router.path("duties").on("GET", (request, caller, parameters) -> document(caller, views.duties()));
        router.path("servers")
                .on("GET", (request, caller, parameters) -> document(caller, views.servers()))
                .path("*")
                .on("GET", (request, caller, parameters) -> server(caller, parameters.get(0)));
        router.path("status").on("GET", (request, caller, parameters) -> document(caller, views.status()));
        router.path("data-planes").on("GET", (request, caller, parameters) -> document(caller, views.dataPlanes()));
    }

    InboundConnection connection(EventLoop loop) {
        InboundConnection connection = new InboundConnection(loop, this);
        connections.add(connection);
        return connection;
    }

    @Override
    public int maxBodyBytes() {
        return MAX_BODY_BYTES;
    }

    @Override
    public boolean isClosing() {
        return closing;
    }

    @Override
    public void callerGone(InboundConnection caller) {
        callsInFlight.remove(caller);
    }

    @Override
    public void connectionEnded(InboundConnection caller) {
        connections.remove(caller);
    }

    @Override
    public void handle(InboundConnection.Request request, InboundConnection caller) {
        handle(request, (Responder) caller);
    }

    /** Serves one call. */
    void handle(InboundConnection.Request request, Responder caller) {
        callsInFlight.add(caller);
        PathRouter.Match<Call> match = router.find(request.method(), request.target());
        if (match.handler() != null) {
            match.handler().run(request, caller, match.parameters());
        } else {
            noSuch(request, caller, match.methods());
        }
    }

    private void noSuch(InboundConnection.Request request, Responder caller, Set<String> methods) {
        if (methods.isEmpty()) {
            String detail = request.target() + " is none of this interface's paths";
            respond(caller, OperatorResponse.result(ResultCode.NO_SUCH_PATH, detail));
            return;
        }
        String allowed = String.join(", ", methods);
        String detail = request.method() + " is not among " + allowed;
        respond(caller, OperatorResponse.resultWithHeader(ResultCode.NO_SUCH_METHOD, detail, "Allow", allowed));
    }

    private void server(Responder caller, String instanceId) {
        Optional<String> server = views.server(instanceId);
        if (server.isPresent()) {
            document(caller, server.get());
        } else {
            String detail = "the list of servers has no instance " + instanceId;
            respond(caller, OperatorResponse.result(ResultCode.NO_SUCH_SERVER, detail));
        }
    }

    /**
     * Runs the call if a quorum was reached recently. Without one this control plane could only wait until its caller
     * gives up, so it says at once that it neither confirms nor refuses, and where to go. A redirect names one that is
     * up and recently had a quorum itself; where none is known, a redirect might lead to a machine that is gone.
     */
    private void ifCurrent(InboundConnection.Request request, Responder caller, Runnable call) {
        if (redirects.hasQuorum()) {
            call.run();
            return;
        }
        Optional<String> better = redirects.quorateEndpoint();
        if (better.isPresent() && request.target().startsWith("/")) {
            respond(
                    caller,
                    OperatorResponse.resultWithHeader(
                            ResultCode.ELSEWHERE,
                            "no majority of acceptors was reached lately from here",
                            "Location",
                            "http://" + better.get() + request.target()));
            return;
        }
        List<String> others =
                redirects.knownEndpoints().stream().map(JsonText::quoted).toList();
        boolean foundersLost = redirects.areFoundersLost();
        respond(
                caller,
                OperatorResponse.result(
                        foundersLost ? ResultCode.FOUNDERS_LOST : ResultCode.NOT_CURRENT,
                        foundersLost
                                ? "the first acceptors, which had no disk, have all ended before anything was chosen"
                                : "no majority of acceptors was reached lately",
                        JsonText.plain("elsewhere", JsonText.array(others))));
    }

    private void read(Responder caller) {
        configurationCalls.read(response -> respond(caller, response));
    }

    private void change(InboundConnection.Request request, Responder caller, boolean patch) {
        try {
            configurationCalls.change(request, patch, response -> respond(caller, response));
        } catch (RejectedCallException e) {
            respond(caller, e.response());
        }
    }

    private void document(Responder caller, String json) {
        respond(caller, OperatorResponse.document(json));
    }

    private void respond(Responder caller, OperatorResponse response) {
        if (callsInFlight.remove(caller)) {
            caller.answer(response.status(), response.headers(), response.body());
        }
    }

    /** Closes connections that were idle for long: behind a network partition their close may never arrive. */
    void sweep() {
        List.copyOf(connections).forEach(c -> c.timeOutAfter(MAX_IDLE_MS));
    }

    /** Takes no further calls; returns whether none is in flight any more. */
    boolean close() {
        closing = true;
        List.copyOf(connections).forEach(c -> c.endIfIdle(true));
        return callsInFlight.isEmpty();
    }

    /** Answers all calls in flight before the process ends. */
    void endAll() {
        for (Responder caller : List.copyOf(callsInFlight)) {
            respond(caller, OperatorResponse.result(ResultCode.ENDING, "this control sidecar ends"));
        }
    }
}
