package dewplank.dataplane;

import dewplank.configuration.Tenant;
import dewplank.exchange.HttpCall;
import dewplank.exchange.InboundConnection;
import dewplank.http.Headers;
import dewplank.http.MessageWriter;
import dewplank.net.EventLoop;
import dewplank.routing.TrackedServer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Creates the attempts of one client's request: encodes the request for each server, matches responses to it, and
 * records the servers that it was sent to. Not thread-safe; must be used on the event loop's thread only.
 */
final class AttemptFactory {
    private final EventLoop loop;
    private final Counters counters;
    private final InboundConnection.Request request;
    private final RequestDeadline deadline;
    private final Credentials credentials;
    /** The request's attempt id; null if the client sent none. */
    private final String attemptId;

    private final Set<String> attemptedInstances = new HashSet<>();

    AttemptFactory(
            EventLoop loop,
            Counters counters,
            InboundConnection.Request request,
            RequestDeadline deadline,
            Credentials credentials) {
        this.loop = loop;
        this.counters = counters;
        this.request = request;
        this.deadline = deadline;
        this.credentials = credentials;
        this.attemptId = request.headers().get(HeaderNames.ATTEMPT_ID);
    }

    /**
     * Creates an attempt at a server without starting it. The attempt uses a dedicated connection if the request was
     * sent to this server before, because a second response to the earlier attempt would have the same attempt id and
     * could be mistaken for the response to this one. A request without an id also uses a dedicated connection, because
     * its responses cannot be distinguished from others.
     *
     * @param prefillTokens number of the prompt's tokens that the server has to prefill
     * @param extraFields fields that replace the client's fields of the same names
     */
    ServerAttempt newAttempt(
            Server server, long prefillTokens, List<Headers.Field> extraFields, HttpCall.Listener listener) {
        boolean repeated = !attemptedInstances.add(server.state.instanceId());
        Optional<Tenant> tenant = credentials.tenant();
        MessageWriter.Message message = encode(server, extraFields, tenant);
        ServerAttempt attempt = new ServerAttempt(loop, server, prefillTokens, message, counters, listener);
        attempt.sendOnlyIf(() -> credentials.isAllowedFor(tenant));
        if (repeated || attemptId == null) {
            attempt.useDedicatedConnection();
        }
        if (isHead()) {
            attempt.expectNoBody();
        }
        return attempt;
    }

    boolean isUnattempted(TrackedServer server) {
        return !attemptedInstances.contains(server.instanceId());
    }

    /** Whether responses have no body even if their fields state a length. */
    boolean isHead() {
        return request.method().equals("HEAD");
    }

    /**
     * Whether the response belongs to this request. Servers echo the attempt id, so a response without one belongs to
     * another request, for example one that frees a KV handle. A request without an id has a dedicated connection.
     */
    boolean isResponseToThisRequest(Headers headers) {
        return attemptId == null || attemptId.equals(headers.get(HeaderNames.ATTEMPT_ID));
    }

    private MessageWriter.Message encode(Server server, List<Headers.Field> extraFields, Optional<Tenant> tenant) {
        List<Headers.Field> fields = new ArrayList<>();
        for (Headers.Field field : request.headers().endToEnd()) {
            if (!isNotForwarded(field.name()) && !containsName(extraFields, field.name())) {
                fields.add(field);
            }
        }
        fields.addAll(extraFields);
        tenant.ifPresent(holder -> fields.add(new Headers.Field(HeaderNames.TENANT, holder.name())));
        String host = request.headers().get("Host");
        return MessageWriter.request(request.method(), request.target(), host == null ? server.addressText : host)
                .headers(fields)
                .header(HeaderNames.REMAINING_TIME, Long.toString(Math.max(1, (long) deadline.remainingMs())))
                .header(HeaderNames.TARGET_INSTANCE, server.state.instanceId())
                .message(request.body());
    }

    /**
     * Whether a client's field is not forwarded. The field with the access key is not forwarded either if the data
     * plane checks access keys.
     */
    private boolean isNotForwarded(String name) {
        return HeaderNames.isSetByDataPlane(name)
                || name.equalsIgnoreCase(HeaderNames.AUTHORIZATION) && credentials.isKeyRequired();
    }

    private static boolean containsName(List<Headers.Field> fields, String name) {
        for (Headers.Field field : fields) {
            if (field.name().equalsIgnoreCase(name)) {
                return true;
            }
        }
        return false;
    }
}
