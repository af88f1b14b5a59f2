package dewplank.controlplane;

import dewplank.configuration.ChangeRequest;
import dewplank.configuration.ChangeResult;
import dewplank.configuration.ConfigurationDocument;
import dewplank.configuration.InvalidConfigurationException;
import dewplank.exchange.InboundConnection;
import dewplank.exchange.PathRouter;
import dewplank.exchange.Responder;
import dewplank.http.Headers;
import dewplank.net.EventLoop;
import dewplank.register.Outcome;
import dewplank.settings.ResultCode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** The operator's interface over HTTP. */
final class OperatorApi implements InboundConnection.Service {
    private static final double CHANGE_TIMEOUT_MS = 850; // callers move on after a second of silence
    private static final double LARGE_CHANGE_TIMEOUT_MS = 1_500;
    private static final int LARGE_CHANGE_BYTES = 64 * 1024;
    private static final double READ_TIMEOUT_MS = 850;
    /** Also for a body of 4 MiB over a slow link. */
    static final double MAX_IDLE_MS = 60_000;

    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024 + 64 * 1024;

    private interface Call {
        void run(InboundConnection.Request request, Responder caller, List<String> parameters);
    }

    /** Read-only views of this control sidecar, as JSON. */
    interface Views {
        String members();

        String duties();

        String servers();

        /** One server; empty where the list has no such instance. */
        Optional<String> server(String instanceId);

        String status();
    }

    /** The configuration in the register. */
    interface Configurations {
        /** Changes it; the outcome's answer is a {@link ChangeResult}. */
        void change(ChangeRequest change, double withinMs, Consumer<Outcome> then);

        /** Reads the newest at a quorum. */
        void read(double withinMs, Consumer<Outcome> then);
    }

    /** Whether this control plane may answer for the fleet, and which others an operator may call instead. */
    interface Redirects {
        /** Whether a quorum of acceptors was reached lately, so that a call is worth an attempt. */
        boolean hasQuorum();

        /**
         * Where a control plane that lately had a quorum takes operators' calls, as IP:PORT; empty if none is known.
         */
        Optional<String> quorateEndpoint();

        /** Where all control planes that are known take operators' calls, those that are up first. */
        List<String> knownEndpoints();
    }

    private final Configurations configuration;
    private final Redirects redirects;
    private final Views views;
    private final PathRouter<Call> calls = new PathRouter<>();
    private final Set<InboundConnection> connections = new HashSet<>();
    private final Set<Responder> open = new HashSet<>();
    private boolean closing;

    OperatorApi(Configurations configuration, Redirects redirects, Views views) {
        this.configuration = configuration;
        this.redirects = redirects;
        this.views = views;
        calls.path("configuration")
                .on("GET", (request, caller, parameters) -> ifCurrent(request, caller, () -> read(caller)))
                .on(
                        "PUT",
                        (request, caller, parameters) ->
                                ifCurrent(request, caller, () -> change(request, caller, false)))
                .on(
                        "PATCH",
                        (request, caller, parameters) ->
                                ifCurrent(request, caller, () -> change(request, caller, true)));
        calls.path("members").on("GET", (request, caller, parameters) -> json(caller, views.members()));
        calls.path("duties").on("GET", (request, caller, parameters) -> json(caller, views.duties()));
        calls.path("servers")
                .on("GET", (request, caller, parameters) -> json(caller, views.servers()))
                .path("*")
                .on("GET", (request, caller, parameters) -> server(caller, parameters.get(0)));
        calls.path("status").on("GET", (request, caller, parameters) -> json(caller, views.status()));
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
        open.remove(caller);
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
        open.add(caller);
        PathRouter.Match<Call> match = calls.find(request.method(), request.target());
        if (match.handler() != null) {
            match.handler().run(request, caller, match.parameters());
        } else {
            noSuch(request, caller, match.methods());
        }
    }

    private void noSuch(InboundConnection.Request request, Responder caller, Set<String> methods) {
        if (methods.isEmpty()) {
            result(caller, ResultCode.NO_SUCH_PATH, request.target() + " is none of this interface's paths");
            return;
        }
        String allowed = String.join(", ", methods);
        answer(
                caller,
                ResultCode.NO_SUCH_METHOD.status(),
                List.of(json(), new Headers.Field("Allow", allowed)),
                body(ResultCode.NO_SUCH_METHOD, request.method() + " is not among " + allowed));
    }

    private void server(Responder caller, String instanceId) {
        Optional<String> server = views.server(instanceId);
        if (server.isPresent()) {
            json(caller, server.get());
        } else {
            result(caller, ResultCode.NO_SUCH_SERVER, "the list of servers has no instance " + instanceId);
        }
    }

    /**
     * Cut off from a majority this control sidecar could only wait until its caller gives up, so it says at once that
     * it neither confirms nor refuses, and where to go. A redirect names one that can be reached and lately had a
     * majority itself; where none is known, a redirect might lead to a machine that is gone.
     */
    private void ifCurrent(InboundConnection.Request request, Responder caller, Runnable call) {
        if (redirects.hasQuorum()) {
            call.run();
            return;
        }
        Optional<String> better = redirects.quorateEndpoint();
        if (better.isPresent() && request.target().startsWith("/")) {
            answer(
                    caller,
                    ResultCode.ELSEWHERE.status(),
                    List.of(json(), new Headers.Field("Location", "http://" + better.get() + request.target())),
                    body(ResultCode.ELSEWHERE, "no majority of acceptors was reached lately from here"));
            return;
        }
        List<String> others =
                redirects.knownEndpoints().stream().map(JsonText::quoted).toList();
        result(
                caller,
                ResultCode.NOT_CURRENT,
                "no majority of acceptors was reached lately",
                JsonText.plain("elsewhere", JsonText.array(others)));
    }

    private void change(InboundConnection.Request request, Responder caller, boolean patch) {
        String ifMatch = request.headers().get("If-Match");
        if (ifMatch == null) {
            result(caller, ResultCode.IF_MATCH_MISSING, "If-Match has to give the version that the change builds on");
            return;
        }
        long expected = version(ifMatch);
        if (expected < 0) {
            result(caller, ResultCode.IF_MATCH_MALFORMED, "If-Match should be a version, a whole number");
            return;
        }
        ChangeRequest change = new ChangeRequest(patch, expected, request.body());
        double within = request.body().length > LARGE_CHANGE_BYTES ? LARGE_CHANGE_TIMEOUT_MS : CHANGE_TIMEOUT_MS;
        configuration.change(change, within, outcome -> changed(caller, outcome));
    }

    /** The version that If-Match names, with or without quotes; below 0 where it is none. */
    private static long version(String ifMatch) {
        try {
            return Long.parseLong(ifMatch.replace("\"", "").strip());
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private void changed(Responder caller, Outcome outcome) {
        if (!(outcome instanceof Outcome.Confirmed confirmed)) {
            result(caller, ResultCode.NO_QUORUM, ((Outcome.Unknown) outcome).reason());
            return;
        }
        ChangeResult result = (ChangeResult) confirmed.answer();
        if (result instanceof ChangeResult.Accepted) {
            result(caller, ResultCode.OK, "");
        } else if (result instanceof ChangeResult.AlreadyAccepted) {
            result(caller, ResultCode.ALREADY_TAKEN, "");
        } else if (result instanceof ChangeResult.VersionMismatch mismatch) {
            result(
                    caller,
                    ResultCode.VERSION_MISMATCH,
                    "version " + mismatch.current() + " is in place",
                    JsonText.plain("version", mismatch.current()));
        } else if (result instanceof ChangeResult.HistoryExpired forgotten) {
            result(
                    caller,
                    ResultCode.BEYOND_HISTORY,
                    "changes on versions below " + forgotten.oldestBase() + " are no longer remembered");
        } else if (result instanceof ChangeResult.Invalid invalid) {
            InvalidConfigurationException error = invalid.error();
            result(
                    caller,
                    ResultCode.INVALID_CONFIGURATION,
                    error.getMessage(),
                    JsonText.field("reason", error.reason().name()),
                    JsonText.field("key", error.key()));
        }
    }

    private void read(Responder caller) {
        configuration.read(READ_TIMEOUT_MS, outcome -> {
            if (!(outcome instanceof Outcome.Confirmed confirmed)) {
                result(caller, ResultCode.NO_QUORUM, ((Outcome.Unknown) outcome).reason());
                return;
            }
            ConfigurationDocument document = ConfigurationDocument.decode(
                    confirmed.value() == null ? null : confirmed.value().payload());
            if (document.configuration() == null) {
                result(caller, ResultCode.NO_CONFIGURATION, "no configuration has been taken yet");
            } else {
                answer(caller, 200, document.configuration().json());
            }
        });
    }

    private void json(Responder caller, String body) {
        answer(caller, 200, body.getBytes(StandardCharsets.UTF_8));
    }

    private void result(Responder caller, ResultCode code, String detail, String... more) {
        answer(caller, code.status(), body(code, detail, more));
    }

    /** Number, name and detail of a result, and further fields. */
    private static byte[] body(ResultCode code, String detail, String... more) {
        List<String> fields = new ArrayList<>(List.of(
                JsonText.plain("code", code.number()),
                JsonText.field("result", code.name()),
                JsonText.field("detail", detail)));
        fields.addAll(List.of(more));
        return (JsonText.object(fields.toArray(String[]::new)) + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private static Headers.Field json() {
        return new Headers.Field("Content-Type", "application/json");
    }

    private void answer(Responder caller, int status, byte[] body) {
        answer(caller, status, List.of(json()), body);
    }

    private void answer(Responder caller, int status, List<Headers.Field> headers, byte[] body) {
        if (open.remove(caller)) {
            caller.answer(status, headers, body);
        }
    }

    /** Gives up connections whose other end has said nothing for long: behind a cut its close may never come. */
    void sweep() {
        List.copyOf(connections).forEach(c -> c.timeOutAfter(MAX_IDLE_MS));
    }

    /** Takes no further calls; whether none is under way any more. */
    boolean close() {
        closing = true;
        List.copyOf(connections).forEach(c -> c.endIfIdle(true));
        return open.isEmpty();
    }

    /** What is under way gets an answer before the process ends. */
    void endAll() {
        for (Responder caller : List.copyOf(open)) {
            result(caller, ResultCode.ENDING, "this control sidecar ends");
        }
    }
}
