package dewplank.controlplane;

import dewplank.configuration.ChangeRequest;
import dewplank.configuration.ChangeResult;
import dewplank.configuration.ConfigurationDocument;
import dewplank.exchange.InboundConnection;
import dewplank.exchange.InboundConnections;
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
 * The operators' HTTP interface: routes requests by path, redirects them to a control plane with a quorum, and tracks
 * the requests in flight.
 *
 * <p>Connections use it on the loop's thread only. Each request gets at most one response, and none if its client has
 * closed the connection or sent malformed bytes.
 */
final class OperatorApi implements InboundConnection.Service {
    /** Time after which an idle connection is closed: long enough to receive a body of 4 MiB over a slow link. */
    static final double MAX_IDLE_MS = 60_000;

    /** Time after a response within which an idle connection is not closed for the sake of another one. */
    private static final double MIN_IDLE_MS = 10_000;

    /**
     * Maximum size of a request's body. It exceeds the limit for configurations, so that the response to a slightly
     * larger configuration states that the configuration is invalid.
     */
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024 + 64 * 1024;

    private interface RequestHandler {
        void run(InboundConnection.Request request, Responder client, List<String> parameters);
    }

    /** The state of this control plane as JSON documents. */
    interface Views {
        String members();

        String duties();

        String servers();

        /** The server with this instance id; empty if the endpoint list does not contain it. */
        Optional<String> server(String instanceId);

        String status();

        /** The configuration version that each data plane has reported to this control plane. */
        String dataPlanes();
    }

    /** The configuration in the register. */
    interface Configurations {
        /** Changes the configuration; the outcome contains a {@link ChangeResult}. */
        void change(ChangeRequest change, double timeoutMs, Consumer<Outcome<ChangeResult>> callback);

        /** Decodes the register's payload. */
        default ConfigurationDocument document(byte[] payload) {
            return ConfigurationDocument.decode(payload);
        }

        /** Reads the newest configuration from a quorum. */
        void read(double timeoutMs, Consumer<Outcome<ChangeResult>> callback);
    }

    /** Whether this control plane can process operators' requests, and which other control planes may process them. */
    interface Redirects {
        /** Whether a quorum of acceptors replied recently, so that a request may succeed. */
        boolean hasQuorum();

        /** Whether the decisions of the initial acceptors, which had no disk, are lost; see {@link FounderTracker}. */
        boolean areFoundersLost();

        /** The operators' address of a control plane with a recent quorum, as IP:PORT; empty if there is none. */
        Optional<String> quorateOperatorAddress();

        /** The operators' addresses of all other control planes; those whose links are up are the first ones. */
        List<String> otherOperatorAddresses();
    }

    private final ConfigurationRequests configurationRequests;
    private final Redirects redirects;
    private final Views views;
    private final PathRouter<RequestHandler> router = new PathRouter<>();
    private final InboundConnections connections = new InboundConnections();
    private final Set<Responder> requestsInFlight = new HashSet<>();
    private boolean closing;

    OperatorApi(Configurations configuration, Redirects redirects, Views views) {
        this.configurationRequests = new ConfigurationRequests(configuration);
        this.redirects = redirects;
        this.views = views;
        router.path("configuration")
                .on("GET", (request, client, parameters) -> runIfQuorate(request, client, () -> read(client)))
                .on(
                        "PUT",
                        (request, client, parameters) ->
                                runIfQuorate(request, client, () -> change(request, client, false)))
                .on(
                        "PATCH",
                        (request, client, parameters) ->
                                runIfQuorate(request, client, () -> change(request, client, true)));
        router.path("members").on("GET", (request, client, parameters) -> respondWithDocument(client, views.members()));
        router.path("duties").on("GET", (request, client, parameters) -> respondWithDocument(client, views.duties()));
        router.path("servers")
                .on("GET", (request, client, parameters) -> respondWithDocument(client, views.servers()))
                .path("*")
                .on("GET", (request, client, parameters) -> respondWithServer(client, parameters.get(0)));
        router.path("status").on("GET", (request, client, parameters) -> respondWithDocument(client, views.status()));
        router.path("data-planes")
                .on("GET", (request, client, parameters) -> respondWithDocument(client, views.dataPlanes()));
    }

    InboundConnection connection(EventLoop loop) {
        return connections.open(loop, this);
    }

    /** Closes an operator's connection that waits, if there is one, so that the next operator is accepted. */
    void makeRoom(double now) {
        connections.closeLongestWaiting(now, MIN_IDLE_MS);
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
    public void clientDisconnected(InboundConnection client) {
        requestsInFlight.remove(client);
    }

    @Override
    public void handle(InboundConnection.Request request, InboundConnection client) {
        handle(request, (Responder) client);
    }

    /** Handles one request. */
    void handle(InboundConnection.Request request, Responder client) {
        requestsInFlight.add(client);
        PathRouter.Match<RequestHandler> match = router.find(request.method(), request.target());
        if (match.handler() != null) {
            match.handler().run(request, client, match.parameters());
        } else {
            respondNoHandler(request, client, match.methods());
        }
    }

    private void respondNoHandler(InboundConnection.Request request, Responder client, Set<String> methods) {
        if (methods.isEmpty()) {
            String detail = request.target() + " is none of this interface's paths";
            respond(client, OperatorResponse.result(ResultCode.NO_SUCH_PATH, detail));
            return;
        }
        String allowed = String.join(", ", methods);
        String detail = request.method() + " is not among " + allowed;
        respond(client, OperatorResponse.resultWithHeader(ResultCode.NO_SUCH_METHOD, detail, "Allow", allowed));
    }

    private void respondWithServer(Responder client, String instanceId) {
        Optional<String> server = views.server(instanceId);
        if (server.isPresent()) {
            respondWithDocument(client, server.get());
        } else {
            String detail = "the list of servers has no instance " + instanceId;
            respond(client, OperatorResponse.result(ResultCode.NO_SUCH_SERVER, detail));
        }
    }

    /**
     * Runs the action for a request if a quorum replied recently. Otherwise the request could only wait until its
     * client times out, so the response is sent immediately: it neither confirms nor rejects the request, and contains
     * the addresses of other control planes. A redirect leads to a control plane whose link is up and that recently
     * reported a quorum. If there is none, the response is not a redirect, because a redirect might lead to a machine
     * that no longer exists.
     */
    private void runIfQuorate(InboundConnection.Request request, Responder client, Runnable action) {
        if (redirects.hasQuorum()) {
            action.run();
            return;
        }
        Optional<String> quorate = redirects.quorateOperatorAddress();
        if (quorate.isPresent() && request.target().startsWith("/")) {
            respond(
                    client,
                    OperatorResponse.resultWithHeader(
                            ResultCode.ELSEWHERE,
                            "no majority of acceptors was reached lately from here",
                            "Location",
                            "http://" + quorate.get() + request.target()));
            return;
        }
        List<String> others = redirects.otherOperatorAddresses().stream()
                .map(JsonText::quoted)
                .toList();
        boolean foundersLost = redirects.areFoundersLost();
        respond(
                client,
                OperatorResponse.result(
                        foundersLost ? ResultCode.FOUNDERS_LOST : ResultCode.NOT_CURRENT,
                        foundersLost
                                ? "the first acceptors, which had no disk, have all ended before anything was chosen"
                                : "no majority of acceptors was reached lately",
                        JsonText.rawField("elsewhere", JsonText.array(others))));
    }

    private void read(Responder client) {
        configurationRequests.read(response -> respond(client, response));
    }

    private void change(InboundConnection.Request request, Responder client, boolean patch) {
        try {
            configurationRequests.change(request, patch, response -> respond(client, response));
        } catch (RejectedRequestException e) {
            respond(client, e.response());
        }
    }

    private void respondWithDocument(Responder client, String json) {
        respond(client, OperatorResponse.document(json));
    }

    private void respond(Responder client, OperatorResponse response) {
        if (requestsInFlight.remove(client)) {
            client.respond(response.status(), response.headers(), response.body());
        }
    }

    /** Closes connections after a long idle time, because in a network partition the client's close may not arrive. */
    void closeIdleConnections() {
        connections.timeOutAfter(MAX_IDLE_MS);
    }

    /** Stops accepting requests and closes idle connections; returns whether no request is in flight. */
    boolean close() {
        closing = true;
        connections.closeIdle(true);
        return requestsInFlight.isEmpty();
    }

    /** Responds to all requests in flight with {@link ResultCode#ENDING} before the process exits. */
    void abortRequestsInFlight() {
        for (Responder client : List.copyOf(requestsInFlight)) {
            respond(client, OperatorResponse.result(ResultCode.ENDING, "this control sidecar ends"));
        }
    }
}
