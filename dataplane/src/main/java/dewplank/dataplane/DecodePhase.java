package dewplank.dataplane;

import dewplank.dataplane.Counters.Count;
import dewplank.http.Headers;
import dewplank.routing.Mechanism;
import dewplank.routing.PrefillDecodePicker;
import dewplank.routing.RoutingParameters;
import dewplank.routing.TrackedServer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Sends a generation to a decode server, and decides how to proceed if that server rejects it, aborts its response or
 * sends no data for too long. A stream that has started is continued at another server if the route allows that and no
 * event would be repeated. Created by the {@link GenerationRequest}; must be used on the event loop's thread only.
 */
final class DecodePhase {
    private static final RoutingParameters.Hedging HEDGING = RoutingParameters.DEFAULTS.hedging();

    private final GenerationRequest request;
    private final StreamRelay relay;
    private final StallTimer stallTimer;
    /** The latest attempt; null before the first. */
    private ServerAttempt attempt;

    DecodePhase(GenerationRequest request) {
        this.request = request;
        this.relay = new StreamRelay(request.client);
        this.stallTimer = new StallTimer(request.loop, this::onStalled);
    }

    /** Whether a part of the stream was sent to the client. */
    boolean isStreamStarted() {
        return relay.isStarted();
    }

    StreamRelay relay() {
        return relay;
    }

    /** Sends the request to a decode server; gives up if no server is available or no attempt is allowed. */
    void start() {
        if (request.isOver()) {
            return;
        }
        Server server = pickServer();
        if (server == null) {
            request.forwarder.counters().add(Count.NO_SERVER);
        }
        if (server == null || !request.allowance.tryAcquireAttempt()) {
            giveUp();
            return;
        }
        sendTo(server);
    }

    private void sendTo(Server server) {
        request.allowance.recordAttempt();
        List<Headers.Field> extraFields = new ArrayList<>();
        extraFields.add(request.priorityField(request.priorityLevel()));
        KvHandle offered = request.kvTransfer.offer();
        if (offered != null) {
            extraFields.add(new Headers.Field(HeaderNames.KV_FROM, offered.location()));
        } else {
            request.forwarder.counters().add(Count.DIRECT);
        }
        relay.lastEventId().ifPresent(id -> extraFields.add(new Headers.Field(HeaderNames.LAST_EVENT_ID, id)));
        long prefillTokens = offered == null ? request.unsharedTokens() : 0;
        DecodeResponseListener listener = new DecodeResponseListener(request, this, server, offered != null);
        attempt = request.attempts.newAttempt(server, prefillTokens, extraFields, listener);
        attempt.start(request.forwarder.connectTimeoutMs());
        restartStallTimer();
    }

    /** Returns null if no server is eligible. */
    private Server pickServer() {
        FleetMetadata fleet = request.forwarder.fleet();
        List<TrackedServer> servers = fleet.servers(request.service.name(), TrackedServer.Stage.DECODE);
        boolean allowsTrial = request.isIdempotent() && request.allowance.allowsAttemptAfterNext();
        Optional<TrackedServer> picked = request.forwarder
                .prefillDecodePicker()
                .pickDecodeServer(
                        request.loop.now(),
                        new PrefillDecodePicker.DecodeArguments(
                                servers,
                                request.prefix,
                                Optional.ofNullable(request.kvTransfer.zone()),
                                server -> fleet.server(server).pool.size() > 0,
                                request.attempts::isUnattempted,
                                allowsTrial));
        return picked.map(fleet::server).orElse(null);
    }

    /** Whether another server may start or continue the stream. */
    private boolean isResumable() {
        return request.isIdempotent() && relay.isResumable();
    }

    /** Whether another server may start or continue the stream and the route's limit allows an attempt for that. */
    boolean allowsResumption() {
        return isResumable() && request.allowance.allowsAttempt();
    }

    /** Restarts the stall timeout, when the request is sent and when bytes of the stream arrive. */
    void restartStallTimer() {
        if (isResumable() && request.forwarder.policy().isEnabled(Mechanism.PATIENCE)) {
            double prefillMs = relay.isStarted()
                    ? 0
                    : HEDGING.firstEventFactor() * PrefillDecodePicker.prefillMs(request.prefix.tokens());
            stallTimer.restart(HEDGING.streamMs() + prefillMs);
        } else {
            stallTimer.cancel();
        }
    }

    void cancelStallTimer() {
        stallTimer.cancel();
    }

    /**
     * Continues the stream at another server if one is eligible and allowed; otherwise keeps waiting for the stream.
     */
    private void onStalled() {
        if (request.isOver() || attempt.isOver()) {
            return;
        }
        Server other = pickServer();
        if (other == null || other == attempt.server() || !request.allowance.tryAcquireAttempt()) {
            return;
        }
        request.forwarder.counters().add(Count.TIMEOUTS);
        request.recordPossibleRunOf(attempt);
        attempt.cancel();
        request.recordOutcome(attempt.server(), false);
        prepareResumption();
        sendTo(other);
    }

    /** Whether a part of the request may have reached the server and the response is not complete. */
    boolean mayBeRunning() {
        return attempt != null && !attempt.isOver() && attempt.mayHaveReachedServer();
    }

    /** Continues the stream after the last complete event at another server. */
    void resume() {
        prepareResumption();
        start();
    }

    private void prepareResumption() {
        request.kvTransfer.free();
        relay.discardIncompleteEvent();
        if (relay.isStarted()) {
            request.forwarder.counters().add(Count.STREAMS_RESUMED);
        }
    }

    /** Ends the request because no server can run it or continue its stream. */
    void giveUp() {
        cancelStallTimer();
        request.kvTransfer.free();
        if (relay.isStarted()) {
            request.abortResponse();
        } else {
            request.reject();
        }
    }

    /** Records that the first complete event has arrived, which means that the prompt has been prefilled. */
    void recordFirstEvent() {
        attempt.recordPromptPrefilled();
        request.forwarder.counters().add(Count.DECODE_MS, (long) (request.loop.now() - request.prefilledAt()));
    }

    /** Cancels the attempt in flight. */
    void cancel() {
        cancelStallTimer();
        if (attempt != null) {
            attempt.cancel();
        }
    }
}
