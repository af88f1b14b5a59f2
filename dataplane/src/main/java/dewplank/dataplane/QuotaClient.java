package dewplank.dataplane;

import dewplank.configuration.Tenant;
import dewplank.configuration.TenantDirectory;
import dewplank.message.QuotaReply;
import dewplank.message.QuotaRequest;
import dewplank.net.Scheduler;
import dewplank.quota.QuotaBounds;
import dewplank.quota.TokenCache;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Acquires a token for each request of a tenant with a limit, from the control planes with which this data plane has
 * sessions ({@code docs/design-quotas.md}). All waiting requests of a tenant share one pending quota request. Not
 * thread-safe; must be used on the event loop's thread only.
 */
final class QuotaClient {
    /**
     * Timeout for a control plane's reply, after which another control plane is queried. It includes the control
     * plane's own requests to the other control planes.
     */
    private static final double REPLY_TIMEOUT_MS = 200;
    /** Maximum number of control planes queried for a tenant's waiting requests: as many as there are sessions. */
    private static final int MAX_ATTEMPTS = 2;
    /** Maximum number of waiting requests of all tenants. */
    private static final int MAX_WAITING = 1_024;

    /** The decision on a request. */
    sealed interface Decision {
        /** The request may be sent. */
        record Admitted() implements Decision {}

        /** The tenant's quota is exhausted; the next token is available after the given time. */
        record Exhausted(double retryAfterMs) implements Decision {}

        /** No control plane could decide. */
        record Unavailable() implements Decision {}
    }

    /** Receives the decision on one request, immediately or later. */
    interface Callback {
        void onDecision(Decision decision);
    }

    /** The control planes to which quota requests can be sent. */
    interface ControlPlanes {
        /** An open session, if possible another one than {@code tried}; empty if none is open. */
        Optional<ControlSession> sessionOtherThan(Optional<ControlSession> tried);
    }

    private static final Decision ADMITTED = new Decision.Admitted();
    private static final Decision UNAVAILABLE = new Decision.Unavailable();

    private final Scheduler loop;
    private final QuotaBounds bounds;
    private final Map<String, TenantQueue> queues = new HashMap<>();
    private final Map<Long, TenantQueue> pendingRequests = new HashMap<>();
    private ControlPlanes controlPlanes = tried -> Optional.empty();
    private int waitingRequests;
    private long lastRequestId;

    QuotaClient(Scheduler loop, QuotaBounds bounds) {
        this.loop = loop;
        this.bounds = bounds;
    }

    /** Sets the control planes; before the first call, none is available. */
    void connect(ControlPlanes next) {
        controlPlanes = next;
    }

    /** Acquires a token of the tenant; a tenant without a limit needs none. */
    void acquire(Tenant tenant, Callback callback) {
        if (!tenant.isLimited()) {
            callback.onDecision(ADMITTED);
            return;
        }
        queues.computeIfAbsent(tenant.name(), TenantQueue::new).acquire(callback);
    }

    /** Handles a control plane's reply. A late reply is ignored, and its tokens expire unused. */
    void onReply(QuotaReply reply) {
        TenantQueue queue = pendingRequests.remove(reply.id);
        if (queue != null) {
            queue.onReply(reply);
        }
    }

    /** Repeats the quota requests that were pending in a closed session over another session. */
    void onSessionClosed(ControlSession session) {
        for (TenantQueue queue : List.copyOf(pendingRequests.values())) {
            if (queue.isPendingIn(session)) {
                queue.onNoReply();
            }
        }
    }

    /** Removes idle tenants that are not in the configuration in force; called when a configuration takes effect. */
    void retainTenants(TenantDirectory tenants) {
        queues.values()
                .removeIf(queue ->
                        queue.isIdle() && tenants.findByName(queue.tenant).isEmpty());
    }

    /** One tenant's requests that wait for tokens, and its unused tokens. */
    private final class TenantQueue {
        private final String tenant;
        private final TokenCache cache = new TokenCache(bounds.tokenLifetimeMs());
        private final Deque<Callback> waiting = new ArrayDeque<>();
        private Optional<ControlSession> session = Optional.empty();
        /** Null while no quota request is pending. */
        private Scheduler.Timer timeout;

        private long requestId;
        private double requestedAt;
        /**
         * The number of requests that waited when tokens were requested. The tokens granted for them are used when the
         * grant arrives, even if the lifetime of tokens has passed.
         */
        private int waitingAtRequest;

        private int attempts;

        TenantQueue(String tenant) {
            this.tenant = tenant;
        }

        boolean isIdle() {
            return waiting.isEmpty() && timeout == null;
        }

        boolean isPendingIn(ControlSession closed) {
            return timeout != null && session.isPresent() && session.get() == closed;
        }

        void acquire(Callback callback) {
            double now = loop.now();
            cache.recordRequest(now);
            if (waiting.isEmpty() && cache.tryTake(now)) {
                callback.onDecision(ADMITTED);
            } else if (cache.isExhausted(now)) {
                callback.onDecision(new Decision.Exhausted(cache.exhaustedUntilMs() - now));
            } else if (waitingRequests >= MAX_WAITING) {
                callback.onDecision(UNAVAILABLE);
            } else {
                waiting.add(callback);
                waitingRequests++;
                requestTokensIfNeeded();
            }
        }

        private void requestTokensIfNeeded() {
            if (timeout == null && !waiting.isEmpty()) {
                attempts = 0;
                session = Optional.empty();
                requestTokens();
            }
        }

        private void requestTokens() {
            session = controlPlanes.sessionOtherThan(session);
            if (session.isEmpty() || attempts == MAX_ATTEMPTS) {
                decideAll(UNAVAILABLE);
                return;
            }
            attempts++;
            requestedAt = loop.now();
            requestId = ++lastRequestId;
            pendingRequests.put(requestId, this);
            timeout = loop.after(REPLY_TIMEOUT_MS, this::onNoReply);
            waitingAtRequest = waiting.size();
            int tokens = Math.max(waiting.size(), cache.tokensToRequest(requestedAt));
            session.get().send(new QuotaRequest(requestId, tenant, tokens, false));
        }

        void onNoReply() {
            endPendingRequest();
            requestTokens();
        }

        private void endPendingRequest() {
            pendingRequests.remove(requestId);
            if (timeout != null) {
                timeout.cancel();
                timeout = null;
            }
        }

        void onReply(QuotaReply reply) {
            endPendingRequest();
            switch (reply.outcome) {
                case GRANTED -> onGranted(reply.tokens);
                case EXHAUSTED -> {
                    cache.recordExhausted(loop.now(), reply.retryAfterMs);
                    decideAll(new Decision.Exhausted(reply.retryAfterMs));
                }
                default -> requestTokens();
            }
        }

        private void onGranted(int tokens) {
            double now = loop.now();
            int tokensForWaiting = Math.min(tokens, waitingAtRequest);
            cache.add(now, tokens - tokensForWaiting, requestedAt);
            for (int token = 0; token < tokensForWaiting; token++) {
                admitNext();
            }
            while (!waiting.isEmpty() && cache.tryTake(now)) {
                admitNext();
            }
            requestTokensIfNeeded();
        }

        private void admitNext() {
            waitingRequests--;
            waiting.remove().onDecision(ADMITTED);
        }

        /** Passes the decision to all waiting requests. */
        private void decideAll(Decision decision) {
            List<Callback> callbacks = new ArrayList<>(waiting);
            waiting.clear();
            waitingRequests -= callbacks.size();
            callbacks.forEach(callback -> callback.onDecision(decision));
        }
    }
}
