package dewplank.client;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Calls control sidecars. A call with no clear answer (silence, a broken connection, 5xx, 408 or 429) goes to the next
 * address unchanged, and after all of them, with growing pauses, to the first again; a change is taken once however
 * often it is sent.
 */
public final class ControlClient {
    private static final Duration SILENCE = Duration.ofSeconds(1);
    /** A large body may take so many times as long. */
    private static final int LARGE_TIMES = 2;

    private static final int LARGE_BYTES = 64 * 1024;
    /** The whole of an answer whose head came in time may take so many times as long. */
    private static final int WHOLE_TIMES = 5;

    private static final int MOST_REDIRECTS = 2;
    private static final long FIRST_PAUSE_MS = 100;
    private static final long LONGEST_PAUSE_MS = 1_600;
    private static final int REDIRECT = 307;
    private static final int SERVER_ERRORS = 500;
    /** Too slow, too many: the same call may do later, or elsewhere. */
    private static final Set<Integer> LATER = Set.of(408, 429);

    /** Waits between rounds. */
    interface Pauses {
        void pause(long ms) throws InterruptedException;
    }

    /** A call that has no clear answer. */
    private static final class UnclearException extends Exception {
        private static final long serialVersionUID = 1L;

        UnclearException(String why) {
            super(why);
        }
    }

    private final List<String> addresses;
    private final int rounds;
    private final Duration silence;
    private final Pauses pauses;
    private final HttpClient http;

    /** Asks all addresses so many times before it gives up. */
    public ControlClient(ControlAddresses addresses, int rounds) {
        this(addresses, rounds, SILENCE, Thread::sleep);
    }

    ControlClient(ControlAddresses addresses, int rounds, Duration silence, Pauses pauses) {
        this.addresses = addresses.all();
        this.rounds = rounds;
        this.silence = silence;
        this.pauses = pauses;
        this.http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .followRedirects(HttpClient.Redirect.NEVER)
                .connectTimeout(silence)
                .build();
    }

    /** The first clear answer. */
    public Answer call(ControlCall call) throws NoAnswerException, InterruptedException {
        Map<String, String> last = new LinkedHashMap<>();
        long pause = FIRST_PAUSE_MS;
        for (int round = 1; round <= rounds; round++) {
            for (String address : addresses) {
                try {
                    return ask(address, call);
                } catch (UnclearException e) {
                    last.put(address, e.getMessage());
                }
            }
            if (round < rounds) {
                pauses.pause(pause);
                pause = Math.min(LONGEST_PAUSE_MS, 2 * pause);
            }
        }
        throw new NoAnswerException(last);
    }

    /** Each address's own answer, by address; one without a clear answer is missing. Each is asked once. */
    public Map<String, Answer> callEach(ControlCall call) throws NoAnswerException, InterruptedException {
        Map<String, Answer> answers = new LinkedHashMap<>();
        Map<String, String> last = new LinkedHashMap<>();
        for (String address : addresses) {
            try {
                answers.put(address, ask(address, call));
            } catch (UnclearException e) {
                last.put(address, e.getMessage());
            }
        }
        if (answers.isEmpty()) {
            throw new NoAnswerException(last);
        }
        return answers;
    }

    /** All addresses, in the order in which they are asked. */
    public List<String> addresses() {
        return addresses;
    }

    private Answer ask(String address, ControlCall call) throws UnclearException, InterruptedException {
        URI to = URI.create("http://" + address + call.path());
        for (int redirects = 0; redirects <= MOST_REDIRECTS; redirects++) {
            HttpResponse<byte[]> answer = exchange(request(to, call));
            if (answer.statusCode() != REDIRECT) {
                return clear(new Answer(to.getRawAuthority(), answer.statusCode(), answer.body()));
            }
            to = location(to, answer);
        }
        throw new UnclearException("more than " + MOST_REDIRECTS + " redirects");
    }

    private static Answer clear(Answer answer) throws UnclearException {
        if (answer.status() >= SERVER_ERRORS || LATER.contains(answer.status())) {
            throw new UnclearException(answer.result());
        }
        return answer;
    }

    private static URI location(URI from, HttpResponse<byte[]> answer) throws UnclearException {
        String location = answer.headers().firstValue("Location").orElse("");
        try {
            URI to = from.resolve(location);
            if (!location.isEmpty() && "http".equals(to.getScheme()) && to.getHost() != null) {
                return to;
            }
        } catch (IllegalArgumentException e) {
            // named below
        }
        throw new UnclearException("a redirect to '" + location + "'");
    }

    private HttpRequest request(URI to, ControlCall call) {
        HttpRequest.Builder request = HttpRequest.newBuilder(to)
                .timeout(call.body().length > LARGE_BYTES ? silence.multipliedBy(LARGE_TIMES) : silence)
                .method(
                        call.method(),
                        call.body().length == 0 && call.on() == null
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofByteArray(call.body()));
        if (call.on() != null) {
            request.header("If-Match", Long.toString(call.on())).header("Content-Type", "application/json");
        }
        return request.build();
    }

    private HttpResponse<byte[]> exchange(HttpRequest request) throws UnclearException, InterruptedException {
        CompletableFuture<HttpResponse<byte[]>> answer =
                http.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray());
        try {
            return answer.get(silence.multipliedBy(WHOLE_TIMES).toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            answer.cancel(true);
            throw new UnclearException("the answer did not become whole in time");
        } catch (ExecutionException e) {
            throw new UnclearException(why(e.getCause()));
        }
    }

    private static String why(Throwable cause) {
        if (cause instanceof java.net.http.HttpTimeoutException) {
            return "no answer in time";
        }
        if (cause instanceof java.net.ConnectException) {
            return "no connection";
        }
        return cause instanceof IOException && cause.getMessage() != null ? cause.getMessage() : cause.toString();
    }
}
