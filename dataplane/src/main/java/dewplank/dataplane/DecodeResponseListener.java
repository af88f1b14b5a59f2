package dewplank.dataplane;

import dewplank.dataplane.Counters.Count;
import dewplank.exchange.HttpCall;
import dewplank.http.Headers;
import java.io.ByteArrayOutputStream;

/**
 * Handles a decode server's response to one attempt: relays its stream event by event, and reports failures and
 * rejections to the {@link DecodePhase}. Not thread-safe; must be used on the event loop's thread only.
 */
final class DecodeResponseListener implements HttpCall.Listener {
    private final GenerationRequest request;
    private final DecodePhase phase;
    private final StreamRelay relay;
    private final Server server;
    private final boolean kvOffered;
    /** The body of a response that is not a stream. */
    private final ByteArrayOutputStream failureBody = new ByteArrayOutputStream();

    private int status;
    private Headers headers;
    /** Null until the head was received. */
    private ResponseKind kind;

    /** Maximum size of the body of a failure. */
    private static final int MAX_FAILURE_BYTES = 512 * 1024;

    /** How a stream ended whose connection or body was closed normally. */
    private enum StreamEnd {
        COMPLETE,
        /**
         * The stream had no length, so that only the end of the connection marked its end, and the connection ended
         * within an event or before the first one. The stream counts as broken.
         */
        TRUNCATED
    }

    /**
     * @param kvOffered whether the request contained the handle of a KV cache to fetch
     */
    DecodeResponseListener(GenerationRequest request, DecodePhase phase, Server server, boolean kvOffered) {
        this.request = request;
        this.phase = phase;
        this.relay = phase.relay();
        this.server = server;
        this.kvOffered = kvOffered;
    }

    @Override
    public boolean head(int responseStatus, Headers responseHeaders) {
        if (!request.attempts.isResponseToThisRequest(responseHeaders)) {
            return false;
        }
        status = responseStatus;
        headers = responseHeaders;
        kind = ResponseKind.of(responseStatus, responseHeaders);
        if (kind == ResponseKind.SUCCESS) {
            request.kvTransfer.confirmFetched();
        }
        return true;
    }

    @Override
    public void body(byte[] bytes) {
        if (kind != ResponseKind.SUCCESS) {
            collectFailure(bytes);
            return;
        }
        request.recordPossibleRun();
        relayEvents(relay.feed(bytes));
        phase.restartStallTimer();
    }

    /** Collects the body of a failure; one that is too long can't be relayed. */
    private void collectFailure(byte[] bytes) {
        if (kind == ResponseKind.NOT_EXECUTED) {
            return; // its body is never relayed
        }
        failureBody.writeBytes(bytes);
        if (failureBody.size() > MAX_FAILURE_BYTES) {
            request.recordPossibleRun();
            request.fail(502);
        }
    }

    @Override
    public long heldBytes() {
        return failureBody.size() + relay.incompleteEventBytes();
    }

    private void relayEvents(byte[] completeEvents) {
        if (completeEvents.length == 0) {
            return;
        }
        if (!relay.isStarted()) {
            phase.recordFirstEvent();
            relay.start(status, headers);
        }
        relay.write(completeEvents);
    }

    @Override
    public void complete() {
        phase.cancelStallTimer();
        if (kind == ResponseKind.NOT_EXECUTED) {
            onRejected();
            return;
        }
        request.recordPossibleRun();
        if (kind != ResponseKind.SUCCESS) {
            onFailureResponse();
        } else if (streamEnd() == StreamEnd.TRUNCATED) {
            request.recordOutcome(server, false);
            onBroken();
        } else {
            request.recordOutcome(server, true);
            relayEvents(relay.drainIncompleteEvent());
            endStream();
        }
    }

    private StreamEnd streamEnd() {
        boolean framed = headers.get("Content-Length") != null || headers.get("Transfer-Encoding") != null;
        boolean truncated = !framed && !request.attempts.isHead() && (!relay.isStarted() || relay.hasIncompleteEvent());
        return truncated ? StreamEnd.TRUNCATED : StreamEnd.COMPLETE;
    }

    private void onFailureResponse() {
        request.recordOutcome(server, ResponseKind.isHealthyFailure(status));
        if (kind != ResponseKind.FINAL_FAILURE && phase.allowsResumption()) {
            phase.resume();
        } else if (relay.isStarted()) {
            request.abortResponse();
        } else if (kind == ResponseKind.UNUSABLE) {
            request.fail(502);
        } else {
            request.relay(status, headers.endToEnd(), failureBody.toByteArray());
        }
    }

    private void endStream() {
        if (!relay.isStarted()) {
            request.relay(status, headers.endToEnd(), new byte[0]);
            return;
        }
        relay.end();
        request.complete();
    }

    private void onRejected() {
        request.forwarder.serverFeedback().recordRejection(server, status);
        if (kvOffered) {
            request.forwarder.counters().add(Count.HANDOVER_FAILURES);
        }
        request.kvTransfer.free();
        if (request.allowance.allowsAttempt()) {
            phase.start();
        } else {
            phase.giveUp();
        }
    }

    @Override
    public void failed(HttpCall.Failure failure) {
        phase.cancelStallTimer();
        Execution execution = request.forwarder.serverFeedback().recordFailure(server, request.route.name(), failure);
        if (execution == Execution.IMPOSSIBLE) {
            request.allowance.undoAttempt();
            request.kvTransfer.withdrawOffer();
            phase.start();
            return;
        }
        request.recordPossibleRun();
        onBroken();
    }

    private void onBroken() {
        if (phase.allowsResumption()) {
            phase.resume();
        } else {
            request.fail(502); // aborts the response instead if it has started
        }
    }
}
