package dewplank.dataplane;

import dewplank.configuration.Route;
import dewplank.configuration.Tenant;
import dewplank.dataplane.Counters.Count;
import dewplank.exchange.InboundConnection;
import dewplank.http.Headers;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Decides whether a client's request is served: it needs a route, an access key that allows it, and a token of its
 * tenant's quota, for which it may have to wait. Sends the response to a request that is not served. Called by the
 * {@link Forwarder} on the event loop's thread only.
 */
final class RequestAdmission {
    private static final double MS_PER_SECOND = 1_000;

    /** Serves an admitted request. */
    interface AdmittedHandler {
        void start(
                InboundConnection.Request request,
                InboundConnection connection,
                Route route,
                Credentials credentials,
                double arrivedAt);
    }

    private final FleetMetadata fleet;
    private final AccessControl accessControl;
    private final QuotaClient quotas;
    private final Counters counters;
    private final AdmittedHandler admittedHandler;
    private final Map<InboundConnection, PendingAdmission> awaitingQuota = new HashMap<>();

    RequestAdmission(
            FleetMetadata fleet,
            AccessControl accessControl,
            QuotaClient quotas,
            Counters counters,
            AdmittedHandler admittedHandler) {
        this.fleet = fleet;
        this.accessControl = accessControl;
        this.quotas = quotas;
        this.counters = counters;
        this.admittedHandler = admittedHandler;
    }

    /**
     * Decides on a request, immediately or later. A configuration must be in force.
     *
     * @param arrivedAt when the request's first byte arrived, in milliseconds of the loop's clock
     */
    void decide(InboundConnection.Request request, InboundConnection connection, double arrivedAt) {
        decide(request, connection, arrivedAt, false);
    }

    private void decide(
            InboundConnection.Request request, InboundConnection connection, double arrivedAt, boolean hasToken) {
        String host = request.headers().get("Host");
        Route route = fleet.routes().find(host == null ? "" : host, request.target());
        if (route == null) {
            counters.add(Count.NO_ROUTE);
            connection.respond(404);
            return;
        }
        Credentials credentials = new Credentials(accessControl, route, request.headers());
        new PendingAdmission(request, connection, route, credentials, arrivedAt, hasToken).authorize();
    }

    /** Rejects a request that has not been sent to a server; the response states when to retry. */
    void reject(InboundConnection connection, double retryAfterMs) {
        counters.add(Count.REFUSED);
        connection.respond(503, List.of(retryAfter(retryAfterMs)), new byte[0]);
    }

    private static Headers.Field retryAfter(double ms) {
        return new Headers.Field("Retry-After", String.format(Locale.ROOT, "%.3f", ms / MS_PER_SECOND));
    }

    /** Drops the waiting request of a client that has disconnected, if there is one. */
    void drop(InboundConnection connection) {
        awaitingQuota.remove(connection);
    }

    /** The number of requests that wait for a token. */
    int waitingCount() {
        return awaitingQuota.size();
    }

    /** Rejects all waiting requests at shutdown. */
    void rejectAll() {
        List<InboundConnection> connections = List.copyOf(awaitingQuota.keySet());
        awaitingQuota.clear();
        connections.forEach(connection -> reject(connection, Forwarder.RETRY_AFTER_MS));
    }

    /** A request that has a route and is not authorized yet. */
    private final class PendingAdmission {
        private final InboundConnection.Request request;
        private final InboundConnection connection;
        private final Route route;
        private final Credentials credentials;
        private final double arrivedAt;
        private final boolean hasToken;
        private final long configurationVersion = fleet.configurationVersion();

        PendingAdmission(
                InboundConnection.Request request,
                InboundConnection connection,
                Route route,
                Credentials credentials,
                double arrivedAt,
                boolean hasToken) {
            this.request = request;
            this.connection = connection;
            this.route = route;
            this.credentials = credentials;
            this.arrivedAt = arrivedAt;
            this.hasToken = hasToken;
        }

        void authorize() {
            AccessControl.Decision decision = credentials.decide();
            if (decision instanceof AccessControl.Decision.Allowed allowed) {
                acquireToken(allowed.tenant());
            } else if (decision instanceof AccessControl.Decision.UnknownKey) {
                counters.add(Count.UNKNOWN_KEY);
                connection.respond(401, List.of(new Headers.Field("WWW-Authenticate", "Bearer")), new byte[0]);
            } else {
                counters.add(Count.ACCESS_UNCONFIRMED);
                reject(connection, Forwarder.RETRY_AFTER_MS);
            }
        }

        private void acquireToken(Optional<Tenant> tenant) {
            if (hasToken || tenant.isEmpty()) {
                admittedHandler.start(request, connection, route, credentials, arrivedAt);
                return;
            }
            awaitingQuota.put(connection, this);
            quotas.acquire(tenant.get(), decision -> {
                if (awaitingQuota.remove(
                        connection, this)) { // otherwise the client has disconnected or has received a response
                    onQuotaDecided(decision);
                }
            });
        }

        private void onQuotaDecided(QuotaClient.Decision decision) {
            if (decision instanceof QuotaClient.Decision.Exhausted exhausted) {
                counters.add(Count.QUOTA_EXHAUSTED);
                connection.respond(429, List.of(retryAfter(exhausted.retryAfterMs())), new byte[0]);
            } else if (decision instanceof QuotaClient.Decision.Unavailable) {
                counters.add(Count.QUOTA_UNAVAILABLE);
                reject(connection, Forwarder.RETRY_AFTER_MS);
            } else if (fleet.configurationVersion() == configurationVersion) {
                admittedHandler.start(request, connection, route, credentials, arrivedAt);
            } else { // the route may have changed meanwhile
                decide(request, connection, arrivedAt, true);
            }
        }
    }
}
