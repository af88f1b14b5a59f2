package dewplank.emulator.loopback;

import dewplank.balancer.Settings.Idempotency;
import dewplank.emulator.ClientAttempt;
import dewplank.emulator.Clients;
import dewplank.emulator.EmulatedEnvironment;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.scenario.RequestClassSpec;
import dewplank.emulator.scenario.Scenario;
import dewplank.http.MessageWriter;
import dewplank.http.ResponseParser;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Sends clients' attempts to sidecars as HTTP requests and reports the outcomes. Used only on the loop's thread. */
final class SidecarClients implements Clients.SidecarConnector {
    /** Time for which a server can look up an attempt; longer than any deadline. */
    private static final double ATTEMPT_RETENTION_MS = 10_000;

    private static final String RETRY_HEADER = "X-Second-Try";
    private static final String RESPONSE_PREFIX = "made for ";
    private static final byte[] BODY = "{\"lines\":[]}".getBytes(StandardCharsets.US_ASCII);

    /** Receives the outcome of an attempt; {@link Type} defines the meaning of {@code value}. */
    interface OutcomeSink {
        void onOutcome(ClientAttempt attempt, Type type, double value);
    }

    private final Scenario scenario;
    private final EmulatedEnvironment environment;
    private final List<HttpClient> httpClients;
    private final OutcomeSink outcomes;
    private final Map<Long, ClientAttempt> attempts = new HashMap<>();
    private final Map<Long, HttpClient.Call> calls = new HashMap<>();

    /** {@code httpClients} contains an HTTP client for each sidecar, indexed by the sidecar's number. */
    SidecarClients(EmulatedEnvironment environment, List<HttpClient> httpClients, OutcomeSink outcomes) {
        this.scenario = environment.scenario();
        this.environment = environment;
        this.httpClients = httpClients;
        this.outcomes = outcomes;
    }

    /** The attempts that servers may still receive, by id. */
    Map<Long, ClientAttempt> attempts() {
        return attempts;
    }

    @Override
    public void send(ClientAttempt attempt) {
        attempts.put(attempt.id(), attempt);
        environment.schedule(ATTEMPT_RETENTION_MS, () -> attempts.remove(attempt.id()));
        boolean[] hasEnded = new boolean[1]; // a call may fail before it returns
        HttpClient.Call call = httpClients.get(attempt.sidecar()).call(message(scenario, attempt), response -> {
            hasEnded[0] = true;
            calls.remove(attempt.id());
            onEnd(attempt, response);
        });
        if (!hasEnded[0]) {
            calls.put(attempt.id(), call);
        }
    }

    /** Encodes an attempt as an HTTP request with the header fields that {@code sidecar.RequestDecoder} reads. */
    static ByteBuffer message(Scenario scenario, ClientAttempt attempt) {
        RequestClassSpec kind = scenario.classes().get(attempt.requestClass());
        boolean isSafe = kind.idempotency() == Idempotency.SAFE;
        MessageWriter request = MessageWriter.request(isSafe ? "GET" : "POST", "/api", "api.internal")
                .header("X-Trace-Id", Long.toHexString(attempt.id()))
                .header("X-Qos", kind.name())
                .header(
                        "X-Expires-In-Ms",
                        Long.toString(Math.max(1, Math.round(attempt.deadlineMs() - attempt.sentAtMs()))))
                .header(
                        "X-Customer",
                        attempt.tenant() < 0
                                ? null
                                : scenario.tenantsAndKeys()
                                        .tenants()
                                        .get(attempt.tenant())
                                        .name())
                .header("Cookie", attempt.subjectKey() < 0 ? null : "k=key-" + attempt.subjectKey())
                .header(RETRY_HEADER, attempt.isRetry() && scenario.clients().marksRetries() ? "1" : null)
                .header(
                        "Idempotency-Key",
                        kind.idempotency() == Idempotency.KEYED ? Long.toHexString(attempt.key()) : null);
        return isSafe ? request.noBody() : request.body(BODY);
    }

    private void onEnd(ClientAttempt attempt, Optional<HttpClient.Response> response) {
        if (response.isEmpty()) {
            outcomes.onOutcome(attempt, Type.UNREACHABLE, 0);
            return;
        }
        ResponseParser head = response.get().head();
        if (head.status() == 200) {
            outcomes.onOutcome(
                    attempt, Type.SERVED, servedAttemptId(response.get().body()));
        } else if (head.status() == 429 || head.status() == 503) {
            outcomes.onOutcome(
                    attempt, Type.REFUSED, 1000 * parseNumber(head.headers().get("Retry-After")));
        } else {
            outcomes.onOutcome(attempt, Type.FAILED, head.status());
        }
    }

    /** Returns the id of the attempt that the server names in its response; -1 if it names none. */
    private static double servedAttemptId(byte[] body) {
        String text = new String(body, StandardCharsets.US_ASCII);
        return text.startsWith(RESPONSE_PREFIX) ? parseNumber(text.substring(RESPONSE_PREFIX.length())) : -1;
    }

    private static double parseNumber(String text) {
        try {
            return text == null ? 0 : Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    @Override
    public void abandon(ClientAttempt attempt) {
        HttpClient.Call call = calls.remove(attempt.id());
        if (call != null) {
            call.cancel();
        }
    }
}
