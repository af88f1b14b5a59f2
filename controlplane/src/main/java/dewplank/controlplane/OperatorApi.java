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
 * The operators' HTTP interface: routes calls by path, redirects them to a control plane with a quorum, and tracks the
 * calls in flight.
 *
 * <p>Connections call it on the loop's thread only. Each call gets at most one response, and none if its caller has
 * closed the connection or sent malformed bytes.
 */
final class OperatorApi implements InboundConnection.Service {
    /** Long enough to receive a body of 4 MiB over a slow link. */
    static final double MAX_IDLE_MS = 60_000;

    /** Above the limit for configurations, so that a slightly larger body gets the result for an invalid one. */
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024 + 64 * 1024;

    private interface CallHandler {
        void run(InboundConnection.Request request, Responder caller, List<String> parameters);
    }

    /** Read-only views of the state of this control plane, as JSON. */
    interface Views {
        String members();

        String duties();

        String servers();

        /** The server with this instance id; empty if the endpoint list does not contain it. */
        Optional<String> server(String instanceId);

        String status();

        /** The configuration version that each data plane uses, as far as this control plane knows. */
        String dataPlanes();
    }

    /** The configuration in the register. */
    interface Configurations {
        /** Changes the configuration; the outcome contains a {@link ChangeResult}. */
        void change(ChangeRequest change, double timeoutMs, Consumer<Outcome<ChangeResult>> callback);

        /** Reads the newest configuration from a quorum. */
        void read(double timeoutMs, Consumer<Outcome<ChangeResult>> callback);
    }

    /** Whether this control plane can serve calls for the fleet, and which others an operator can call instead. */
    interface Redirects {
        /** Whether a quorum of acceptors was reached recently, so that a call may succeed. */
        boolean hasQuorum();

        /** Whether the initial acceptors, all without a disk, ended before this process knew of a chosen value. */
        boolean areFoundersLost();

        /** The operators' endpoint of a control plane with a recent quorum, as IP:PORT; empty if none is known. */
        Optional<String> quorateEndpoint();

        /** The operators' endpoints of all known control planes, those whose links are up first. */
        List<String> knownEndpoints();
    }

    private final ConfigurationCalls configurationCalls;
    private final Redirects redirects;
    private final Views views;
    private final PathRouter<CallHandler> router = new PathRouter<>();
    private final Set<InboundConnection> connections = new HashSet<>();
    private final Set<Responder> callsInFlight = new HashSet<>();
    private boolean closing;

    OperatorApi(Configurations configuration, Redirects redirects, Views views) {
        this.configurationCalls = new ConfigurationCalls(configuration);
        this.redirects = redirects;
        this.views = views;
        router.path("configuration")
                .on("GET", (request, caller, parameters) -> runIfQuorate(request, caller, () -> read(caller)))
                .on(
                        "PUT",
                        (request, caller, parameters) ->
                                runIfQuorate(request, caller, () -> change(request, caller, false)))
                .on(
                        "PATCH",
                        (request, caller, parameters) ->
                                runIfQuorate(request, caller, () -> change(request, caller, true)));
        router.path("members").on("GET", (request, caller, parameters) -> respondWithDocument(caller, views.members()));
        router.path("duties").on("GET", (request, caller, parameters) -> respondWithDocument(caller, views.duties()));
        router.path("servers")
                .on("GET", (request, caller, parameters) -> respondWithDocument(caller, views.servers()))
                .path("*")
                .on("GET", (request, caller, parameters) -> respondWithServer(caller, parameters.get(0)));
        router.path("status").on("GET", (request, caller, parameters) -> respondWithDocument(caller, views.status()));
        router.path("data-planes")
                .on("GET", (request, caller, parameters) -> respondWithDocument(caller, views.dataPlanes()));
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

    /** Handles one call. */
    void handle(InboundConnection.Request request, Responder caller) {
        callsInFlight.add(caller);
        PathRouter.Match<CallHandler> match = router.find(request.method(), request.target());
        if (match.handler() != null) {
            match.handler().run(request, caller, match.parameters());
        } else {
            respondNoHandler(request, caller, match.methods());
        }
    }

    private void respondNoHandler(InboundConnection.Request request, Responder caller, Set<String> methods) {
        if (methods.isEmpty()) {
            String detail = request.target() + " is none of this interface's paths";
            respond(caller, OperatorResponse.result(ResultCode.NO_SUCH_PATH, detail));
            return;
        }
        String allowed = String.join(", ", methods);
        String detail = request.method() + " is not among " + allowed;
        respond(caller, OperatorResponse.resultWithHeader(ResultCode.NO_SUCH_METHOD, detail, "Allow", allowed));
    }

    private void respondWithServer(Responder caller, String instanceId) {
        Optional<String> server = views.server(instanceId);
        if (server.isPresent()) {
            respondWithDocument(caller, server.get());
        } else {
            String detail = "the list of servers has no instance " + instanceId;
            respond(caller, OperatorResponse.result(ResultCode.NO_SUCH_SERVER, detail));
        }
    }

    /**
     * Runs the call if a quorum was reached recently. Otherwise the call could only wait until its caller times out, so
     * the response is sent immediately: it neither confirms nor rejects the call, and names other control planes. A
     * redirect leads to a control plane whose link is up and that recently had a quorum itself. If none is known there
     * is no redirect, because it might lead to a machine that no longer exists.
     */
    private void runIfQuorate(InboundConnection.Request request, Responder caller, Runnable call) {
        if (redirects.hasQuorum()) {
            call.run();
            return;
        }
        Optional<String> quorate = redirects.quorateEndpoint();
        if (quorate.isPresent() && request.target().startsWith("/")) {
            respond(
                    caller,
                    OperatorResponse.resultWithHeader(
                            ResultCode.ELSEWHERE,
                            "no majority of acceptors was reached lately from here",
                            "Location",
                            "http://" + quorate.get() + request.target()));
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

    private void respondWithDocument(Responder caller, String json) {
        respond(caller, OperatorResponse.document(json));
    }

    private void respond(Responder caller, OperatorResponse response) {
        if (callsInFlight.remove(caller)) {
            caller.answer(response.status(), response.headers(), response.body());
        }
    }

    /** Closes connections after a long idle time: behind a network partition the caller's close may never arrive. */
    void closeIdleConnections() {
        List.copyOf(connections).forEach(c -> c.timeOutAfter(MAX_IDLE_MS));
    }

    /** Stops accepting calls and closes idle connections; returns whether no call is in flight. */
    boolean close() {
        closing = true;
        List.copyOf(connections).forEach(c -> c.endIfIdle(true));
        return callsInFlight.isEmpty();
    }

    /** Responds to all calls in flight with {@link ResultCode#ENDING} before the process exits. */
    void abortCallsInFlight() {
        for (Responder caller : List.copyOf(callsInFlight)) {
            respond(caller, OperatorResponse.result(ResultCode.ENDING, "this control sidecar ends"));
        }
    }
}
