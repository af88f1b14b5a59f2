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
 * Has a decode server run a generation, and decides where the request goes when that server rejects it, breaks off or
 * stalls. A stream that has begun is continued at another server where the route allows that and nothing would be
 * repeated. Created by the {@link GenerationRequest}; on the event loop's thread only.
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

    /** Whether a part of the stream has gone to the client. */
    boolean isStreamStarted() {
        return relay.isStarted();
    }

    StreamRelay relay() {
        return relay;
    }

    /** Sends the request to a decode server, or gives it up where none is there or none may be sent to. */
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
        extraFields.add(request.priority(request.rank()));
        KvHandle offered = request.kvTransfer.offer();
        if (offered != null) {
            extraFields.add(new Headers.Field(HeaderNames.KV_FROM, offered.location()));
        } else {
            request.forwarder.counters().add(Count.DIRECT);
        }
        relay.lastEventId().ifPresent(id -> extraFields.add(new Headers.Field(HeaderNames.LAST_EVENT_ID, id)));
        long prefillTokens = offered == null ? request.unsharedTokens() : 0;
        DecodeAnswer answer = new DecodeAnswer(request, this, server, offered != null);
        attempt = request.attempts.newAttempt(server, prefillTokens, extraFields, answer);
        attempt.start(request.forwarder.connectTimeoutMs());
        restartStallTimer();
    }

    /** Null where no server may be picked. */
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

    /** Whether another server may continue, or begin, the stream. */
    private boolean isResumable() {
        return request.isIdempotent() && relay.isResumable();
    }

    /** Whether another server may continue, or begin, the stream, and the route's limit leaves an attempt for that. */
    boolean allowsResumption() {
        return isResumable() && request.allowance.allowsAttempt();
    }

    /** Something has come: the time without a byte is counted anew. */
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

    /** Continues the stream at another server, if there is one that may have it; else the stream is waited for. */
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

    /** Whether the request has begun to be sent and is not answered. */
    boolean hasRunUnderWay() {
        return attempt != null && !attempt.isOver() && attempt.mayHaveReachedServer();
    }

    /** Continues behind the last complete event at another server. */
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

    /** No server will run it, or continue its stream. */
    void giveUp() {
        cancelStallTimer();
        request.kvTransfer.free();
        if (relay.isStarted()) {
            request.breakOff();
        } else {
            request.reject();
        }
    }

    /** The first complete event is there: its prompt has been prefilled. */
    void recordFirstEvent() {
        attempt.recordPromptPrefilled();
        request.forwarder.counters().add(Count.DECODE_MS, (long) (request.loop.now() - request.prefilledAt()));
    }

    /** Ends the attempt under way. */
    void cancel() {
        cancelStallTimer();
        if (attempt != null) {
            attempt.cancel();
        }
    }
}
