package dewplank.emulator.fleet;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import dewplank.emulator.loopback.HttpClient;
import dewplank.http.MessageWriter;
import dewplank.net.EventLoop;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Simulates the operator: sends the same change to one control plane after another until one sends a final response.
 * Follows at most two redirects, and switches to the next control plane after a failure, a retryable status, or a
 * timeout of one second. The methods may be called from any thread.
 */
public final class StandInOperator {
    private static final double RESPONSE_TIMEOUT_MS = 1_000;
    private static final double INITIAL_BACKOFF_MS = 40;
    private static final double MAX_BACKOFF_MS = 400;
    private static final double CALL_TIMEOUT_MS = 20_000;
    private static final String PATH = "/configuration";

    private static final int REDIRECT = 307;
    private static final int MAX_REDIRECTS = 2;

    /**
     * A response; its status is 0 if none was received. {@code location} is the target of a redirect, or empty.
     */
    private record Response(int status, String body, String location) {
        private static final Response NONE = new Response(0, "", "");

        private static Response of(HttpClient.Response response) {
            String location = response.head().headers().get("Location");
            return new Response(
                    response.head().status(),
                    new String(response.body(), StandardCharsets.UTF_8),
                    location == null ? "" : location);
        }
    }

    private final EventLoop loop;
    private final History history;
    private final List<FleetMachine> machines;

    StandInOperator(EventLoop loop, History history, List<FleetMachine> machines) {
        this.loop = loop;
        this.history = history;
        this.machines = List.copyOf(machines);
    }

    /**
     * Sends a complete configuration, first to the machine at the given index. Returns the final response's status, or
     * 0 if there is none.
     */
    public CompletableFuture<Integer> put(FleetConfiguration next, long base, int firstMachine) {
        return sendChange("PUT", next.json().toString(), base, Optional.of(next), firstMachine);
    }

    /** Sends the patch that turns {@code base} into {@code next}; returns the same as {@link #put}. */
    public CompletableFuture<Integer> patch(FleetConfiguration next, FleetConfiguration base, int firstMachine) {
        return sendChange("PATCH", next.patchFrom(base).toString(), base.version(), Optional.of(next), firstMachine);
    }

    /** Sends a text that is not a valid configuration; returns the same as {@link #put}. */
    public CompletableFuture<Integer> putInvalid(String text, long base, int firstMachine) {
        return sendChange("PUT", text, base, Optional.empty(), firstMachine);
    }

    /** Sends an invalid patch; returns the same as {@link #put}. */
    public CompletableFuture<Integer> patchInvalid(String text, long base, int firstMachine) {
        return sendChange("PATCH", text, base, Optional.empty(), firstMachine);
    }

    private CompletableFuture<Integer> sendChange(
            String method, String text, long base, Optional<FleetConfiguration> document, int firstMachine) {
        history.add(new FleetEvent.ChangeSent(loop.now(), base, document, text));
        CompletableFuture<Integer> status = new CompletableFuture<>();
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        MessageFactory message = machine -> MessageWriter.request(method, PATH, machine.node())
                .header("If-Match", Long.toString(base))
                .header("Content-Type", "application/json")
                .body(body);
        ResponseListener finalListener = (machine, response) -> {
            history.add(new FleetEvent.ChangeResponded(loop.now(), base, document, text, response.status()));
            status.complete(response.status());
        };
        new ConfigurationCall(
                        message,
                        firstMachine,
                        finalListener,
                        (machine, response) -> history.add(
                                new FleetEvent.ChangeAttempted(loop.now(), machine.node(), text, response.status())))
                .start();
        return status;
    }

    /** Reads the configuration, first from the machine at the given index; returns its version, or -1 if none. */
    public CompletableFuture<Long> read(int firstMachine) {
        CompletableFuture<Long> version = new CompletableFuture<>();
        double sentAtMs = loop.now();
        MessageFactory message =
                machine -> MessageWriter.request("GET", PATH, machine.node()).noBody();
        new ConfigurationCall(
                        message,
                        firstMachine,
                        (machine, response) -> {
                            String text = response.status() == 200 ? response.body() : "";
                            history.add(new FleetEvent.ReadBack(loop.now(), sentAtMs, machine.node(), text));
                            version.complete(FleetConfiguration.versionOf(text));
                        },
                        (machine, response) -> {})
                .start();
        return version;
    }

    /** Reads a path from one control plane; returns an empty object unless the status is 200. */
    public JsonObject view(FleetMachine machine, String path) {
        CompletableFuture<Response> future = new CompletableFuture<>();
        loop.execute(() -> request(
                machine, MessageWriter.request("GET", path, machine.node()).noBody(), future::complete));
        Response response = Futures.await(future);
        return response.status() == 200
                ? JsonParser.parseString(response.body()).getAsJsonObject()
                : new JsonObject();
    }

    private void request(FleetMachine machine, ByteBuffer message, Consumer<Response> callback) {
        HttpClient client = new HttpClient(loop, machine.control(), 1);
        boolean[] isDone = new boolean[1];
        HttpClient.Call call = client.call(message, response -> {
            isDone[0] = true;
            client.close();
            callback.accept(response.map(Response::of).orElse(Response.NONE));
        });
        loop.after(RESPONSE_TIMEOUT_MS, () -> {
            if (!isDone[0]) {
                isDone[0] = true;
                call.cancel();
                callback.accept(Response.NONE);
            }
        });
    }

    private interface MessageFactory {
        ByteBuffer createFor(FleetMachine machine);
    }

    private interface ResponseListener {
        void onResponse(FleetMachine machine, Response response);
    }

    /** A call that is sent to one control plane after another until a response is final. */
    private final class ConfigurationCall {
        private final MessageFactory message;
        private final ResponseListener finalListener;
        private final ResponseListener attemptListener;
        private int nextMachine;
        private double backoffMs = INITIAL_BACKOFF_MS;
        private double deadlineMs;
        private int redirects;

        ConfigurationCall(
                MessageFactory message,
                int firstMachine,
                ResponseListener finalListener,
                ResponseListener attemptListener) {
            this.message = message;
            this.nextMachine = firstMachine;
            this.finalListener = finalListener;
            this.attemptListener = attemptListener;
        }

        void start() {
            loop.execute(() -> {
                deadlineMs = loop.now() + CALL_TIMEOUT_MS;
                send();
            });
        }

        private void send() {
            redirects = 0;
            send(machines.get(nextMachine++ % machines.size()));
        }

        private void send(FleetMachine machine) {
            request(machine, message.createFor(machine), response -> handleResponse(machine, response));
        }

        private void handleResponse(FleetMachine machine, Response response) {
            attemptListener.onResponse(machine, response);
            int status = response.status();
            Optional<FleetMachine> redirect = status == REDIRECT ? machineAt(response.location()) : Optional.empty();
            if (redirect.isPresent() && redirects++ < MAX_REDIRECTS) {
                send(redirect.get());
                return;
            }
            boolean isRetryable = status == 0 || status == REDIRECT || status >= 500 || status == 408 || status == 429;
            if (!isRetryable) {
                finalListener.onResponse(machine, response);
            } else if (loop.now() >= deadlineMs) {
                finalListener.onResponse(machine, Response.NONE);
            } else {
                loop.after(backoffMs, this::send);
                backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
            }
        }

        private Optional<FleetMachine> machineAt(String location) {
            return machines.stream()
                    .filter(machine -> location.startsWith(
                            "http://" + machine.control().getAddress().getHostAddress() + ":"
                                    + machine.control().getPort() + "/"))
                    .findFirst();
        }
    }
}
