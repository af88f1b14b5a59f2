package dewplank.client;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Calls the operators' API of a fleet's control planes, with failover and retries.
 *
 * <p>After an inconclusive attempt (a timeout, a broken connection, a malformed
 * response, or one with status 5xx, 408 or 429) the
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

    /** Creates a client that calls all addresses in at most the given number of rounds. */
    public ControlClient(OperatorApiAddresses addresses, int maxRounds) {
        this(addresses, maxRounds, RESPONSE_TIMEOUT, Thread::sleep);
    }

    ControlClient(OperatorApiAddresses addresses, int maxRounds, Duration responseTimeout, Sleeper sleeper) {
        this.addresses = addresses.all();
        this.maxRounds = maxRounds;
        this.responseTimeout = responseTimeout;
        this.sleeper = sleeper;
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
            HttpExchange.Response response = exchange(to, call);
            if (response.status() != TEMPORARY_REDIRECT) {
                return requireConclusive(new ControlResponse(to.getRawAuthority(), response.status(), response.body()));
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

    private static URI redirectTarget(URI from, HttpExchange.Response response) throws InconclusiveException {
        String location = Objects.requireNonNullElse(response.headers().get("Location"), "");
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

    private HttpExchange.Response exchange(URI to, ControlCall call)
            throws InconclusiveException, InterruptedException {
        HttpExchange.Timeouts timeouts = new HttpExchange.Timeouts(
                responseTimeout,
                call.body().length > LARGE_BODY_BYTES
                        ? responseTimeout.multipliedBy(LARGE_BODY_TIMEOUT_FACTOR)
                        : responseTimeout,
                responseTimeout.multipliedBy(COMPLETE_RESPONSE_TIMEOUT_FACTOR));
        try {
            return new HttpExchange(to, call, timeouts).run();
        } catch (IOException e) {
            throw new InconclusiveException(e.getMessage());
        }
    }
}
