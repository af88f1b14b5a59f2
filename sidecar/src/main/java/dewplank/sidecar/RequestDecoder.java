package dewplank.sidecar;

import dewplank.balancer.Settings;
import dewplank.balancer.Settings.Idempotency;
import dewplank.balancer.Settings.RequestClass;
import dewplank.balancer.Settings.Tenant;
import dewplank.http.BadMessageException;
import dewplank.http.Headers;
import dewplank.http.RequestParser;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Validates a complete HTTP request against the settings and converts it into a {@link ClientRequest}.
 *
 * <p>Client connections call it on the event loop's thread. It has no state between requests.
 */
final class RequestDecoder {
    private static final Pattern MILLISECONDS = Pattern.compile("[0-9]{1,9}");
    private static final long MAX_TIME_BUDGET_MS = 3_600_000;
    private static final Pattern TRACE_ID =
            Pattern.compile("[!-+\\--~]{1,128}"); // visible characters without the comma

    private final Map<String, Idempotency> idempotencyByClass;
    private final Set<String> tenants;

    RequestDecoder(Settings settings) {
        this.idempotencyByClass =
                settings.classes().stream().collect(Collectors.toMap(RequestClass::name, RequestClass::idempotency));
        this.tenants = settings.tenants().stream().map(Tenant::name).collect(Collectors.toSet());
    }

    /**
     * Decodes the request that the parser has read completely, and takes the body from the parser.
     *
     * @throws BadMessageException with status 400 if a required header is missing or malformed
     */
    ClientRequest decode(RequestParser parser) throws BadMessageException {
        Headers headers = parser.headers();
        String requestClass = headers.get("X-Qos");
        Idempotency idempotency = requestClass == null ? null : idempotencyByClass.get(requestClass);
        if (idempotency == null) {
            throw new BadMessageException(400, "X-Qos names no class of the settings");
        }
        String id = headers.get("X-Trace-Id");
        if (id == null || !TRACE_ID.matcher(id).matches()) { // repeated headers are joined with a comma
            throw new BadMessageException(400, "X-Trace-Id is missing or malformed");
        }
        // Without a key, no server could deduplicate a retry of the request.
        if (idempotency == Idempotency.KEYED && headers.get("Idempotency-Key") == null) {
            throw new BadMessageException(400, "Idempotency-Key is missing");
        }
        PendingRequest.ForwardedRequest forwarded =
                new PendingRequest.ForwardedRequest(id, parser.method(), parser.target(), headers, parser.takeBody());
        return new ClientRequest(
                forwarded,
                RequestAttributes.of(headers, tenants),
                requestClass,
                timeBudgetMs(headers),
                "1".equals(headers.get("X-Second-Try")));
    }

    private static double timeBudgetMs(Headers headers) throws BadMessageException {
        String text = headers.get(AttemptDispatcher.EXPIRES_IN_HEADER);
        if (text == null || !MILLISECONDS.matcher(text).matches() || Long.parseLong(text) == 0) {
            throw new BadMessageException(400, "X-Expires-In-Ms is not a time in whole milliseconds");
        }
        return Math.min(MAX_TIME_BUDGET_MS, Long.parseLong(text));
    }
}
