package dewplank.dataplane;

import dewplank.configuration.Tenant;
import dewplank.configuration.TenantDirectory;
import dewplank.message.QuotaReply;
import dewplank.message.QuotaRequest;
import dewplank.net.Scheduler;
import dewplank.quota.QuotaTerms;
import dewplank.quota.TokenStock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Acquires a token for each request of a tenant with a limit, from the control planes that this data plane has sessions
 * with ({@code docs/design-quotas.md}). Requests of one tenant wait together for one reply at a time. On the event
 * loop's thread only.
 */
final class QuotaClient {
    /** A control plane that has not replied by then is taken to be gone: it asks the others itself meanwhile. */
    private static final double REPLY_TIMEOUT_MS = 200;
    /** Control planes that are asked before a request is given up: as many as there are sessions. */
    private static final int MAX_ATTEMPTS = 2;
    /** Requests that wait, of all tenants. */
    private static final int MAX_WAITING = 1_024;

    /** What is decided on a request. */
    sealed interface Decision {
        /** It may be sent. */
        record Admitted() implements Decision {}

        /** Its tenant has used up its quota for so many milliseconds. */
        record Exhausted(double retryAfterMs) implements Decision {}

        /** No control plane could tell. */
        record Unavailable() implements Decision {}
    }

    /** Takes the decision on one request, at once or later. */
    interface Callback {
        void decided(Decision decision);
    }

    /** The control planes that can be asked. */
    interface ControlPlanes {
        /** An open session, with another control plane than the tried one if there is one; empty where none is open. */
        Optional<ControlSession> sessionOtherThan(Optional<ControlSession> tried);
    }

    private static final Decision ADMITTED = new Decision.Admitted();
    private static final Decision UNAVAILABLE = new Decision.Unavailable();

    private final Scheduler loop;
    private final QuotaTerms terms;
    private final Map<String, TenantQueue> queues = new HashMap<>();
    private final Map<Long, TenantQueue> pending = new HashMap<>();
    private ControlPlanes controlPlanes = tried -> Optional.empty();
    private int waitingRequests;
    private long lastId;

    QuotaClient(Scheduler loop, QuotaTerms terms) {
        this.loop = loop;
        this.terms = terms;
    }

    /** Sets where tokens are asked for; before, no control plane can tell. */
    void connect(ControlPlanes next) {
        controlPlanes = next;
    }

    /** Acquires a token of the tenant; one without a limit needs none. */
    void acquire(Tenant tenant, Callback then) {
        if (!tenant.isLimited()) {
            then.decided(ADMITTED);
            return;
        }
        queues.computeIfAbsent(tenant.name(), TenantQueue::new).acquire(then);
    }

    /** A control plane has replied; a reply that comes too late is ignored, and its tokens lapse. */
    void replied(QuotaReply reply) {
        TenantQueue queue = pending.remove(reply.id);
        if (queue != null) {
            queue.replied(reply);
        }
    }

    /** The session has ended: what was asked for by it is asked for by another one. */
    void sessionEnded(ControlSession session) {
        for (TenantQueue queue : List.copyOf(pending.values())) {
            if (queue.isAsking(session)) {
                queue.onUnanswered();
            }
        }
    }

    /** A configuration is in force: forgets tenants that it does not have. */
    void retainTenants(TenantDirectory tenants) {
        queues.values()
                .removeIf(queue ->
                        queue.isIdle() && tenants.findByName(queue.tenant).isEmpty());
    }

    /** One tenant's requests that wait for tokens, and the tokens that wait for requests. */
    private final class TenantQueue {
        private final String tenant;
        private final TokenStock stock = new TokenStock(terms.tokenLifetimeMs());
        private final Deque<Callback> waiting = new ArrayDeque<>();
        private Optional<ControlSession> asked = Optional.empty();
        /** Null while nothing is asked for. */
        private Scheduler.Timer timeout;

        private long id;
        private double askedAt;
        /** Requests that waited when tokens were asked for: their tokens need no lifetime. */
        private int waitingWhenAsked;

        private int attempts;

        TenantQueue(String tenant) {
            this.tenant = tenant;
        }

        boolean isIdle() {
            return waiting.isEmpty() && timeout == null;
        }

        boolean isAsking(ControlSession session) {
            return timeout != null && asked.isPresent() && asked.get() == session;
        }

        void acquire(Callback then) {
            double now = loop.now();
            stock.recordRequest(now);
            if (waiting.isEmpty() && stock.tryTake(now)) {
                then.decided(ADMITTED);
            } else if (stock.isRefused(now)) {
                then.decided(new Decision.Exhausted(stock.refusedUntilMs() - now));
            } else if (waitingRequests >= MAX_WAITING) {
                then.decided(UNAVAILABLE);
            } else {
                waiting.add(then);
                waitingRequests++;
                askIfNeeded();
            }
        }

        private void askIfNeeded() {
            if (timeout == null && !waiting.isEmpty()) {
                attempts = 0;
                asked = Optional.empty();
                ask();
            }
        }

        private void ask() {
            asked = controlPlanes.sessionOtherThan(asked);
            if (asked.isEmpty() || attempts == MAX_ATTEMPTS) {
                end(UNAVAILABLE);
                return;
            }
            attempts++;
            askedAt = loop.now();
            id = ++lastId;
            pending.put(id, this);
            timeout = loop.after(REPLY_TIMEOUT_MS, this::onUnanswered);
            waitingWhenAsked = waiting.size();
            int tokens = Math.max(waiting.size(), stock.tokensToRequest(askedAt));
            asked.get().send(new QuotaRequest(id, tenant, tokens, false));
        }

        void onUnanswered() {
            stopAsking();
            ask();
        }

        private void stopAsking() {
            pending.remove(id);
            if (timeout != null) {
                timeout.cancel();
                timeout = null;
            }
        }

        void replied(QuotaReply reply) {
            stopAsking();
            switch (reply.outcome) {
                case GRANTED -> onGranted(reply.tokens);
                case EXHAUSTED -> {
                    stock.recordRefusal(loop.now(), reply.retryAfterMs);
                    end(new Decision.Exhausted(reply.retryAfterMs));
                }
                default -> ask();
            }
        }

        private void onGranted(int tokens) {
            double now = loop.now();
            int forWaiting = Math.min(tokens, waitingWhenAsked);
            stock.add(now, tokens - forWaiting, askedAt);
            for (int token = 0; token < forWaiting; token++) {
                admitNext();
            }
            while (!waiting.isEmpty() && stock.tryTake(now)) {
                admitNext();
            }
            askIfNeeded();
        }

        private void admitNext() {
            waitingRequests--;
            waiting.remove().decided(ADMITTED);
        }

        /** Decides so on all that wait. */
        private void end(Decision decision) {
            List<Callback> decided = new ArrayList<>(waiting);
            waiting.clear();
            waitingRequests -= decided.size();
            decided.forEach(callback -> callback.decided(decision));
        }
    }
}
