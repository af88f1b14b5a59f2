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
 * Stands in for the operator: sends a change, unchanged, to one control plane after another until one gives a final
 * response. Follows at most two redirects, and goes to the next control plane after a failure, a retryable status, or a
 * time-out of one second. Its methods may be called from any thread.
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
     * A response; {@code status} 0: none came. {@code location}: the target of a redirect, empty where there is none.
     */
    private record Answer(int status, String body, String location) {
        private static final Answer NONE = new Answer(0, "", "");

        private static Answer of(HttpClient.Response response) {
            String location = response.head().headers().get("Location");
            return new Answer(
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

    /** Sends a complete configuration, first to the machine of that index; the final status, 0 where none came. */
    public CompletableFuture<Integer> put(FleetConfiguration next, long base, int first) {
        return change("PUT", next.json().toString(), base, Optional.of(next), first);
    }

    /** Sends the patch that turns {@code base} into {@code next}; the result is that of {@link #put}. */
    public CompletableFuture<Integer> patch(FleetConfiguration next, FleetConfiguration base, int first) {
        return change("PATCH", next.patchFrom(base).toString(), base.version(), Optional.of(next), first);
    }

    /** Sends a text that is no valid configuration; the result is that of {@link #put}. */
    public CompletableFuture<Integer> putInvalid(String text, long base, int first) {
        return change("PUT", text, base, Optional.empty(), first);
    }

    /** Sends a patch that is not valid; the result is that of {@link #put}. */
    public CompletableFuture<Integer> patchInvalid(String text, long base, int first) {
        return change("PATCH", text, base, Optional.empty(), first);
    }

    private CompletableFuture<Integer> change(
            String method, String text, long base, Optional<FleetConfiguration> document, int first) {
        history.add(new FleetEvent.ChangeSent(loop.now(), base, document, text));
        CompletableFuture<Integer> status = new CompletableFuture<>();
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        Message message = machine -> MessageWriter.request(method, PATH, machine.node())
                .header("If-Match", Long.toString(base))
                .header("Content-Type", "application/json")
                .body(body);
        ResponseListener finalListener = (machine, answer) -> {
            history.add(new FleetEvent.ChangeAnswered(loop.now(), base, document, text, answer.status()));
            status.complete(answer.status());
        };
        new ConfigurationCall(
                        message,
                        first,
                        finalListener,
                        (machine, answer) -> history.add(
                                new FleetEvent.ChangeAttempted(loop.now(), machine.node(), text, answer.status())))
                .begin();
        return status;
    }

    /** Reads the configuration back, first from the machine of that index; its version, -1 where none was served. */
    public CompletableFuture<Long> read(int first) {
        CompletableFuture<Long> version = new CompletableFuture<>();
        double sentAtMs = loop.now();
        Message message =
                machine -> MessageWriter.request("GET", PATH, machine.node()).noBody();
        new ConfigurationCall(
                        message,
                        first,
                        (machine, answer) -> {
                            String text = answer.status() == 200 ? answer.body() : "";
                            history.add(new FleetEvent.ReadBack(loop.now(), sentAtMs, machine.node(), text));
                            version.complete(FleetConfiguration.versionOf(text));
                        },
                        (machine, answer) -> {})
                .begin();
        return version;
    }

    /** One control plane's view at a path; an empty object where it does not respond with 200. */
    public JsonObject view(FleetMachine machine, String path) {
        CompletableFuture<Answer> got = new CompletableFuture<>();
        loop.execute(() -> request(
                machine, MessageWriter.request("GET", path, machine.node()).noBody(), got::complete));
        Answer answer = Futures.await(got);
        return answer.status() == 200 ? JsonParser.parseString(answer.body()).getAsJsonObject() : new JsonObject();
    }

    private void request(FleetMachine machine, ByteBuffer message, Consumer<Answer> then) {
        HttpClient client = new HttpClient(loop, machine.control(), 1);
        boolean[] isOver = new boolean[1];
        HttpClient.Call call = client.call(message, response -> {
            isOver[0] = true;
            client.close();
            then.accept(response.map(Answer::of).orElse(Answer.NONE));
        });
        loop.after(RESPONSE_TIMEOUT_MS, () -> {
            if (!isOver[0]) {
                isOver[0] = true;
                call.cancel();
                then.accept(Answer.NONE);
            }
        });
    }

    private interface Message {
        ByteBuffer to(FleetMachine machine);
    }

    private interface ResponseListener {
        void answered(FleetMachine machine, Answer answer);
    }

    /** One call, sent to one control plane after another until the response is final. */
    private final class ConfigurationCall {
        private final Message message;
        private final ResponseListener finalListener;
        private final ResponseListener attemptListener;
        private int nextMachine;
        private double backoffMs = INITIAL_BACKOFF_MS;
        private double deadlineMs;
        private int redirects;

        ConfigurationCall(
                Message message, int first, ResponseListener finalListener, ResponseListener attemptListener) {
            this.message = message;
            this.nextMachine = first;
            this.finalListener = finalListener;
            this.attemptListener = attemptListener;
        }

        void begin() {
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
            request(machine, message.to(machine), answer -> answered(machine, answer));
        }

        private void answered(FleetMachine machine, Answer answer) {
            attemptListener.answered(machine, answer);
            int status = answer.status();
            Optional<FleetMachine> redirect = status == REDIRECT ? machineAt(answer.location()) : Optional.empty();
            if (redirect.isPresent() && redirects++ < MAX_REDIRECTS) {
                send(redirect.get());
                return;
            }
            boolean isRetryable = status == 0 || status == REDIRECT || status >= 500 || status == 408 || status == 429;
            if (!isRetryable) {
                finalListener.answered(machine, answer);
            } else if (loop.now() >= deadlineMs) {
                finalListener.answered(machine, Answer.NONE);
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
