package dewplank.controlplane;

import dewplank.configuration.Configuration;
import dewplank.configuration.Tenant;
import dewplank.message.QuotaReply;
import dewplank.message.QuotaRequest;
import dewplank.net.Scheduler;
import dewplank.quota.QuotaBounds;
import dewplank.quota.QuotaBuckets;
import dewplank.quota.TakeResult;
import dewplank.quota.TenantLimit;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Grants tokens of tenants' quotas from this control plane's share. If that is exhausted, forwards the request to the
 * other control planes, one after the other ({@code docs/design-quotas.md}). Each request receives exactly one reply.
 * Must be used on the loop's thread only.
 */
final class QuotaTokens {
    /**
     * Timeout for the reply of a peer. Peers reply immediately and are no farther away than in another zone, so a peer
     * that has not replied within this time is skipped.
     */
    private static final double PEER_TIMEOUT_MS = 50;
    /**
     * Maximum number of concurrent requests that are forwarded to peers. The reply to a request beyond it depends on
     * this process's share only.
     */
    private static final int MAX_FORWARDED = 1_024;

    /** Bounds of the retry time in replies for an exhausted quota. */
    private static final double MIN_RETRY_AFTER_MS = 50;

    private static final double MAX_RETRY_AFTER_MS = 1_000;

    /** The other control planes. */
    interface Peers {
        /** Addresses of the control planes that can be queried now. */
        List<String> addresses();

        void send(String address, QuotaRequest request);
    }

    private final Scheduler loop;
    private final QuotaBuckets buckets;
    private final Peers peers;
    private final RandomGenerator random;
    private final Map<Long, ForwardedRequest> forwarded = new HashMap<>();
    /** The time until which no control plane has a token of a tenant, by the tenant's name. */
    private final Map<String, Double> exhaustedUntil = new HashMap<>();

    private long lastId;

    /**
     * @param random determines the order in which peers are queried
     */
    QuotaTokens(Scheduler loop, QuotaBounds bounds, Peers peers, RandomGenerator random) {
        this.loop = loop;
        this.buckets = new QuotaBuckets(bounds);
        this.peers = peers;
        this.random = random;
    }

    /** Applies the limits of a newer configuration that has been chosen. */
    void updateLimits(Configuration configuration) {
        List<TenantLimit> limits = new ArrayList<>();
        for (Tenant tenant : configuration.tenants()) {
            limits.add(new TenantLimit(tenant.name(), tenant.ratePerSecond(), tenant.burst()));
        }
        buckets.updateLimits(loop.now(), limits);
        exhaustedUntil.clear();
    }

    /** Sets this process's share of all quotas, which expires at {@code expiresAtMs}. */
    void updateShare(double nowMs, double fraction, double expiresAtMs) {
        buckets.updateShare(nowMs, fraction, expiresAtMs);
    }

    /** Handles a request for tokens from a data plane or from a peer. */
    void onRequest(QuotaRequest request, Consumer<QuotaReply> replyTo) {
        double now = loop.now();
        TakeResult taken = buckets.take(now, request.tenant, request.tokens);
        if (taken instanceof TakeResult.Granted granted) {
            replyTo.accept(QuotaReply.granted(request.id, granted.tokens()));
        } else if (taken instanceof TakeResult.Unlimited) {
            replyTo.accept(QuotaReply.granted(request.id, request.tokens));
        } else if (taken instanceof TakeResult.Exhausted exhausted) {
            onExhausted(request, exhausted.nextTokenAfterMs(), replyTo);
        } else if (taken instanceof TakeResult.NoShare) {
            onExhausted(request, Double.POSITIVE_INFINITY, replyTo);
        } else {
            replyTo.accept(QuotaReply.unavailable(request.id));
        }
    }

    private void onExhausted(QuotaRequest request, double nextTokenAfterMs, Consumer<QuotaReply> replyTo) {
        double now = loop.now();
        double fleetExhaustedMs = exhaustedUntil.getOrDefault(request.tenant, now) - now;
        if (request.forwarded) {
            replyTo.accept(exhaustedOrUnavailable(request, nextTokenAfterMs));
        } else if (fleetExhaustedMs > 0) {
            replyTo.accept(exhaustedOrUnavailable(request, fleetExhaustedMs));
        } else if (forwarded.size() >= MAX_FORWARDED) {
            replyTo.accept(exhaustedOrUnavailable(request, nextTokenAfterMs));
        } else {
            new ForwardedRequest(request, nextTokenAfterMs, replyTo).queryNextPeer();
        }
    }

    /**
     * Replies unavailable if the time is infinite, as without a share: this process can't determine when the next token
     * will be available.
     */
    private static QuotaReply exhaustedOrUnavailable(QuotaRequest request, double nextTokenAfterMs) {
        if (nextTokenAfterMs == Double.POSITIVE_INFINITY) {
            return QuotaReply.unavailable(request.id);
        }
        double retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, nextTokenAfterMs));
        return QuotaReply.exhausted(request.id, retryAfterMs);
    }

    /** Handles a peer's reply. A reply after the timeout is ignored, and the tokens that it grants are lost. */
    void onReply(QuotaReply reply) {
        ForwardedRequest request = forwarded.get(reply.id);
        if (request != null) {
            request.onReply(reply);
        }
    }

    /** A data plane's request that is forwarded to the peers, one after the other in random order. */
    private final class ForwardedRequest {
        private final QuotaRequest request;
        private final Consumer<QuotaReply> replyTo;
        private final Deque<String> remainingPeers;
        /**
         * Shortest time until the next token of any control plane that was queried so far; infinity while none of
         * them has a share.
         */
        private double nextTokenAfterMs;

        private long id;
        private Scheduler.Timer timeout = () -> {};

        ForwardedRequest(QuotaRequest request, double nextTokenAfterMs, Consumer<QuotaReply> replyTo) {
            this.request = request;
            this.nextTokenAfterMs = nextTokenAfterMs;
            this.replyTo = replyTo;
            List<String> order = new ArrayList<>(peers.addresses());
            Collections.shuffle(order, new Random(random.nextLong()));
            this.remainingPeers = new ArrayDeque<>(order);
        }

        void queryNextPeer() {
            forwarded.remove(id);
            timeout.cancel();
            if (remainingPeers.isEmpty()) {
                complete();
                return;
            }
            id = ++lastId;
            forwarded.put(id, this);
            timeout = loop.after(PEER_TIMEOUT_MS, this::queryNextPeer);
            peers.send(remainingPeers.remove(), new QuotaRequest(id, request.tenant, request.tokens, true));
        }

        private void complete() {
            QuotaReply reply = exhaustedOrUnavailable(request, nextTokenAfterMs);
            if (reply.outcome == QuotaReply.Outcome.EXHAUSTED) {
                exhaustedUntil.put(request.tenant, loop.now() + reply.retryAfterMs);
            }
            replyTo.accept(reply);
        }

        void onReply(QuotaReply reply) {
            switch (reply.outcome) {
                case GRANTED -> {
                    forwarded.remove(id);
                    timeout.cancel();
                    replyTo.accept(QuotaReply.granted(request.id, reply.tokens));
                }
                case EXHAUSTED -> {
                    nextTokenAfterMs = Math.min(nextTokenAfterMs, reply.retryAfterMs);
                    queryNextPeer();
                }
                default -> queryNextPeer();
            }
        }
    }
}
