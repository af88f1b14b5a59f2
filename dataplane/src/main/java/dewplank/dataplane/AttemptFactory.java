package dewplank.dataplane;

import dewplank.configuration.Tenant;
import dewplank.exchange.HttpCall;
import dewplank.exchange.InboundConnection;
import dewplank.http.Headers;
import dewplank.http.MessageWriter;
import dewplank.net.EventLoop;
import dewplank.routing.TrackedServer;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Writes one client's request as it is sent to servers, and separates answers to it from others'. Knows which servers
 * have had the request. On the event loop's thread only.
 */
final class AttemptFactory {
    private final EventLoop loop;
    private final Counters counters;
    private final InboundConnection.Request request;
    private final RequestDeadline deadline;
    private final Credentials credentials;
    /** Null where the client sent none. */
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
     * An attempt at a server, not yet started. A server that has had the request before gets it on a dedicated
     * connection: a second answer to the first attempt bears the same id, and would be taken for the answer to the next
     * one, as would one to a request without an id.
     *
     * @param prefillTokens tokens of the prompt that the server has to prefill
     * @param extraFields fields that replace the client's of the same names
     */
    ServerAttempt newAttempt(
            Server server, long prefillTokens, List<Headers.Field> extraFields, HttpCall.Listener listener) {
        boolean repeated = !attemptedInstances.add(server.state.instanceId());
        Optional<Tenant> tenant = credentials.tenant();
        ByteBuffer message = encode(server, extraFields, tenant);
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

    /** Whether the answers have no body, whatever their fields say. */
    boolean isHead() {
        return request.method().equals("HEAD");
    }

    /**
     * Whether the answer belongs to this request. Servers echo the id, so an answer without one is another's, of the
     * freeing of a handle say; where the request has none its connection carries no other call.
     */
    boolean isOwnAnswer(Headers headers) {
        return attemptId == null || attemptId.equals(headers.get(HeaderNames.ATTEMPT_ID));
    }

    private ByteBuffer encode(Server server, List<Headers.Field> extraFields, Optional<Tenant> tenant) {
        List<Headers.Field> fields = new ArrayList<>();
        for (Headers.Field field : request.headers().endToEnd()) {
            if (!isWithheld(field.name()) && !names(extraFields, field.name())) {
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
                .body(request.body());
    }

    /** A client's own field that servers do not get; among them its key, where that is for this program. */
    private boolean isWithheld(String name) {
        return HeaderNames.isSetByDataPlane(name)
                || name.equalsIgnoreCase(HeaderNames.AUTHORIZATION) && credentials.isKeyRequired();
    }

    private static boolean names(List<Headers.Field> fields, String name) {
        for (Headers.Field field : fields) {
            if (field.name().equalsIgnoreCase(name)) {
                return true;
            }
        }
        return false;
    }
}
