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
 * Calls the operators' API of a fleet's control planes, with failover and retries.
 *
 * <p>After an inconclusive attempt (a timeout, a broken connection, or a response with status 5xx, 408 or 429) the
 * client sends the same call to the next address. A round ends with the last address; the next round starts after a
 * backoff that doubles each time. Retrying changes is safe because they are idempotent: control planes apply a change
 * once even if they receive it several times.
 *
 * <p>Calls block the calling thread. Instances are not thread-safe.
 */
public final class ControlClient {
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(1);
    /** The factor of the response timeout for a call whose request body exceeds {@link #LARGE_BODY_BYTES}. */
    private static final int LARGE_BODY_TIMEOUT_FACTOR = 2;

    private static final int LARGE_BODY_BYTES = 64 * 1024;
    /** The factor of the response timeout for receiving the complete response, including its body. */
    private static final int COMPLETE_RESPONSE_TIMEOUT_FACTOR = 5;

    private static final int MAX_REDIRECTS = 2;
    private static final long INITIAL_BACKOFF_MS = 100;
    private static final long MAX_BACKOFF_MS = 1_600;
    private static final int TEMPORARY_REDIRECT = 307;
    private static final int MIN_SERVER_ERROR = 500;
    /**
     * The statuses Request Timeout and Too Many Requests, after which a retry or a call to another control plane may
     * succeed.
     */
    private static final Set<Integer> RETRYABLE_STATUSES = Set.of(408, 429);

    /** Waits between rounds; replaced in tests. */
    interface Sleeper {
        void sleep(long ms) throws InterruptedException;
    }

    /** Reports an attempt whose outcome is unknown, or which may succeed at another address. */
    private static final class InconclusiveException extends Exception {
        private static final long serialVersionUID = 1L;

        InconclusiveException(String message) {
            super(message);
        }
    }

    private final List<String> addresses;
    private final int maxRounds;
    private final Duration responseTimeout;
    private final Sleeper sleeper;
    private final HttpClient http;

    /** Creates a client that calls all addresses in at most the given number of rounds. */
    public ControlClient(OperatorApiAddresses addresses, int maxRounds) {
        this(addresses, maxRounds, RESPONSE_TIMEOUT, Thread::sleep);
    }

    ControlClient(OperatorApiAddresses addresses, int maxRounds, Duration responseTimeout, Sleeper sleeper) {
        this.addresses = addresses.all();
        this.maxRounds = maxRounds;
        this.responseTimeout = responseTimeout;
        this.sleeper = sleeper;
        this.http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .followRedirects(HttpClient.Redirect.NEVER)
                .connectTimeout(responseTimeout)
                .build();
    }

    /**
     * Returns the first conclusive response, successful or not.
     *
     * @throws NoResponseException if no round gave a conclusive response; a change may still have been applied
     */
    public ControlResponse call(ControlCall call) throws NoResponseException, InterruptedException {
        Map<String, String> lastErrors = new LinkedHashMap<>();
        long backoffMs = INITIAL_BACKOFF_MS;
        for (int round = 1; round <= maxRounds; round++) {
            for (String address : addresses) {
                try {
                    return attempt(address, call);
                } catch (InconclusiveException e) {
                    lastErrors.put(address, e.getMessage());
                }
            }
            if (round < maxRounds) {
                sleeper.sleep(backoffMs);
                backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
            }
        }
        throw new NoResponseException(lastErrors);
    }

    /**
     * Calls each address once and returns the conclusive responses by address, in the order of the addresses.
     *
     * @throws NoResponseException if there is no conclusive response
     */
    public Map<String, ControlResponse> callEach(ControlCall call) throws NoResponseException, InterruptedException {
        Map<String, ControlResponse> responses = new LinkedHashMap<>();
        Map<String, String> lastErrors = new LinkedHashMap<>();
        for (String address : addresses) {
            try {
                responses.put(address, attempt(address, call));
            } catch (InconclusiveException e) {
                lastErrors.put(address, e.getMessage());
            }
        }
        if (responses.isEmpty()) {
            throw new NoResponseException(lastErrors);
        }
        return responses;
    }

    /** Returns all addresses, in the order in which they are called. */
    public List<String> addresses() {
        return addresses;
    }

    private ControlResponse attempt(String address, ControlCall call)
            throws InconclusiveException, InterruptedException {
        URI to = URI.create("http://" + address + call.path());
        for (int redirects = 0; redirects <= MAX_REDIRECTS; redirects++) {
            HttpResponse<byte[]> response = exchange(request(to, call));
            if (response.statusCode() != TEMPORARY_REDIRECT) {
                return requireConclusive(
                        new ControlResponse(to.getRawAuthority(), response.statusCode(), response.body()));
            }
            to = redirectTarget(to, response);
        }
        throw new InconclusiveException("more than " + MAX_REDIRECTS + " redirects");
    }

    private static ControlResponse requireConclusive(ControlResponse response) throws InconclusiveException {
        if (response.status() >= MIN_SERVER_ERROR || RETRYABLE_STATUSES.contains(response.status())) {
            throw new InconclusiveException(response.result());
        }
        return response;
    }

    private static URI redirectTarget(URI from, HttpResponse<byte[]> response) throws InconclusiveException {
        String location = response.headers().firstValue("Location").orElse("");
        try {
            URI to = from.resolve(location);
            if (!location.isEmpty() && "http".equals(to.getScheme()) && to.getHost() != null) {
                return to;
            }
        } catch (IllegalArgumentException e) {
            // Reported below like any other invalid redirect.
        }
        throw new InconclusiveException("a redirect to '" + location + "'");
    }

    private HttpRequest request(URI to, ControlCall call) {
        HttpRequest.Builder request = HttpRequest.newBuilder(to)
                .timeout(
                        call.body().length > LARGE_BODY_BYTES
                                ? responseTimeout.multipliedBy(LARGE_BODY_TIMEOUT_FACTOR)
                                : responseTimeout)
                .method(
                        call.method(),
                        call.body().length == 0 && call.expectedVersion() == null
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofByteArray(call.body()));
        if (call.expectedVersion() != null) {
            request.header("If-Match", Long.toString(call.expectedVersion()))
                    .header("Content-Type", "application/json");
        }
        return request.build();
    }

    private HttpResponse<byte[]> exchange(HttpRequest request) throws InconclusiveException, InterruptedException {
        CompletableFuture<HttpResponse<byte[]>> response =
                http.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray());
        try {
            return response.get(
                    responseTimeout
                            .multipliedBy(COMPLETE_RESPONSE_TIMEOUT_FACTOR)
                            .toMillis(),
                    TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            response.cancel(true);
            throw new InconclusiveException("the response was not complete in time");
        } catch (ExecutionException e) {
            throw new InconclusiveException(describe(e.getCause()));
        }
    }

    private static String describe(Throwable cause) {
        if (cause instanceof java.net.http.HttpTimeoutException) {
            return "no response in time";
        }
        if (cause instanceof java.net.ConnectException) {
            return "no connection";
        }
        return cause instanceof IOException && cause.getMessage() != null ? cause.getMessage() : cause.toString();
    }
}
