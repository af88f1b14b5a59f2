package dewplank.controlplane;

import dewplank.configuration.Configuration;
import dewplank.configuration.Tenant;
import dewplank.message.QuotaReply;
import dewplank.message.QuotaRequest;
import dewplank.net.Scheduler;
import dewplank.quota.QuotaBuckets;
import dewplank.quota.QuotaTerms;
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
 * Grants tokens of tenants' quotas out of this control plane's share, and where that is used up out of the others',
 * which are asked one after the other ({@code docs/design-quotas.md}). On the loop's thread only; each request is
 * replied to once.
 */
final class QuotaTokens {
    /** A peer is in another zone at most and replies at once; one that has not by then is skipped. */
    private static final double PEER_TIMEOUT_MS = 50;
    /** Requests for which peers are asked at the moment; beyond, a request is replied to from here alone. */
    private static final int MAX_FORWARDED = 1_024;

    private static final double MIN_RETRY_AFTER_MS = 50;
    private static final double MAX_RETRY_AFTER_MS = 1_000;

    /** The other control planes. */
    interface Peers {
        /** Addresses of those that can be asked now. */
        List<String> addresses();

        void send(String address, QuotaRequest request);
    }

    private final Scheduler loop;
    private final QuotaBuckets buckets;
    private final Peers peers;
    private final RandomGenerator random;
    private final Map<Long, ForwardedRequest> forwarded = new HashMap<>();
    /** Until when all control planes together have no token of a tenant, by its name. */
    private final Map<String, Double> exhaustedUntil = new HashMap<>();

    private long lastId;

    /**
     * @param random draws the order in which peers are asked
     */
    QuotaTokens(Scheduler loop, QuotaTerms terms, Peers peers, RandomGenerator random) {
        this.loop = loop;
        this.buckets = new QuotaBuckets(terms);
        this.peers = peers;
        this.random = random;
    }

    /** A newer configuration has been chosen: its limits are in force here from now on. */
    void configurationChosen(Configuration configuration) {
        List<TenantLimit> limits = new ArrayList<>();
        for (Tenant tenant : configuration.tenants()) {
            limits.add(new TenantLimit(tenant.name(), tenant.ratePerSecond(), tenant.burst()));
        }
        buckets.updateLimits(loop.now(), limits);
        exhaustedUntil.clear();
    }

    /** This process holds that share of all quotas until then. */
    void shareHeld(double nowMs, double fraction, double endsAtMs) {
        buckets.updateShare(nowMs, fraction, endsAtMs);
    }

    /** A data plane or a peer asks for tokens. */
    void requested(QuotaRequest request, Consumer<QuotaReply> replyTo) {
        double now = loop.now();
        TakeResult taken = buckets.take(now, request.tenant, request.tokens);
        if (taken instanceof TakeResult.Granted granted) {
            replyTo.accept(QuotaReply.granted(request.id, granted.tokens()));
        } else if (taken instanceof TakeResult.Unlimited) {
            replyTo.accept(QuotaReply.granted(request.id, request.tokens));
        } else if (taken instanceof TakeResult.Exhausted exhausted) {
            onExhausted(request, exhausted.untilNextMs(), replyTo);
        } else if (taken instanceof TakeResult.NoShare) {
            onExhausted(request, Double.POSITIVE_INFINITY, replyTo);
        } else {
            replyTo.accept(QuotaReply.unavailable(request.id));
        }
    }

    private void onExhausted(QuotaRequest request, double untilNextMs, Consumer<QuotaReply> replyTo) {
        double now = loop.now();
        double otherwiseMs = exhaustedUntil.getOrDefault(request.tenant, now) - now;
        if (request.forwarded) {
            replyTo.accept(exhausted(request, untilNextMs));
        } else if (otherwiseMs > 0) {
            replyTo.accept(exhausted(request, otherwiseMs));
        } else if (forwarded.size() >= MAX_FORWARDED) {
            replyTo.accept(exhausted(request, untilNextMs));
        } else {
            new ForwardedRequest(request, untilNextMs, replyTo).askNext();
        }
    }

    /** Infinity, as of a bucket without a share, says that this process cannot tell. */
    private static QuotaReply exhausted(QuotaRequest request, double untilNextMs) {
        if (untilNextMs == Double.POSITIVE_INFINITY) {
            return QuotaReply.unavailable(request.id);
        }
        double retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, untilNextMs));
        return QuotaReply.exhausted(request.id, retryAfterMs);
    }

    /** A peer has replied; a reply that comes too late is ignored, and its tokens lapse. */
    void replied(QuotaReply reply) {
        ForwardedRequest request = forwarded.get(reply.id);
        if (request != null) {
            request.replied(reply);
        }
    }

    /** A data plane's request for which the peers are asked, one after the other in random order. */
    private final class ForwardedRequest {
        private final QuotaRequest request;
        private final Consumer<QuotaReply> replyTo;
        private final Deque<String> unasked;
        /** Infinity while no control plane with a share was met. */
        private double untilNextMs;

        private long id;
        private Scheduler.Timer timeout = () -> {};

        ForwardedRequest(QuotaRequest request, double untilNextMs, Consumer<QuotaReply> replyTo) {
            this.request = request;
            this.untilNextMs = untilNextMs;
            this.replyTo = replyTo;
            List<String> order = new ArrayList<>(peers.addresses());
            Collections.shuffle(order, new Random(random.nextLong()));
            this.unasked = new ArrayDeque<>(order);
        }

        void askNext() {
            forwarded.remove(id);
            timeout.cancel();
            if (unasked.isEmpty()) {
                end();
                return;
            }
            id = ++lastId;
            forwarded.put(id, this);
            timeout = loop.after(PEER_TIMEOUT_MS, this::askNext);
            peers.send(unasked.remove(), new QuotaRequest(id, request.tenant, request.tokens, true));
        }

        private void end() {
            QuotaReply reply = exhausted(request, untilNextMs);
            if (reply.outcome == QuotaReply.Outcome.EXHAUSTED) {
                exhaustedUntil.put(request.tenant, loop.now() + reply.retryAfterMs);
            }
            replyTo.accept(reply);
        }

        void replied(QuotaReply reply) {
            switch (reply.outcome) {
                case GRANTED -> {
                    forwarded.remove(id);
                    timeout.cancel();
                    replyTo.accept(QuotaReply.granted(request.id, reply.tokens));
                }
                case EXHAUSTED -> {
                    untilNextMs = Math.min(untilNextMs, reply.retryAfterMs);
                    askNext();
                }
                default -> askNext();
            }
        }
    }
}
