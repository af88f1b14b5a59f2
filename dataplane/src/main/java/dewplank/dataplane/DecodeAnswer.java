package dewplank.dataplane;

import dewplank.dataplane.Counters.Count;
import dewplank.exchange.HttpCall;
import dewplank.http.Headers;
import java.io.ByteArrayOutputStream;

/**
 * Takes a decode server's answer to one attempt: relays its stream event by event, and reports any other end to the
 * {@link DecodePhase}. On the event loop's thread only.
 */
final class DecodeAnswer implements HttpCall.Listener {
    private final GenerationRequest request;
    private final DecodePhase phase;
    private final StreamRelay relay;
    private final Server server;
    private final boolean kvOffered;
    /** The body of an answer that is no stream. */
    private final ByteArrayOutputStream failureBody = new ByteArrayOutputStream();

    private int status;
    private Headers headers;
    /** Null before the head. */
    private AnswerKind kind;

    /** How a stream ended whose connection or body ended in order. */
    private enum StreamEnd {
        COMPLETE,
        /**
         * The connection's end, which is the only end of an answer without a length, came in the middle of an event or
         * before the first: then it is a break.
         */
        TRUNCATED
    }

    /**
     * @param kvOffered whether the server got a handle of a KV cache to fetch
     */
    DecodeAnswer(GenerationRequest request, DecodePhase phase, Server server, boolean kvOffered) {
        this.request = request;
        this.phase = phase;
        this.relay = phase.relay();
        this.server = server;
        this.kvOffered = kvOffered;
    }

    @Override
    public boolean head(int answerStatus, Headers answerHeaders) {
        if (!request.attempts.isOwnAnswer(answerHeaders)) {
            return false;
        }
        status = answerStatus;
        headers = answerHeaders;
        kind = AnswerKind.of(answerStatus, answerHeaders);
        if (kind == AnswerKind.SUCCESS) {
            request.kvTransfer.confirmTaken();
        }
        return true;
    }

    @Override
    public void body(byte[] bytes) {
        if (kind != AnswerKind.SUCCESS) {
            failureBody.writeBytes(bytes);
            return;
        }
        request.recordPossibleRun();
        relayEvents(relay.feed(bytes));
        phase.restartStallTimer();
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
        if (kind == AnswerKind.NOT_EXECUTED) {
            onRejected();
            return;
        }
        request.recordPossibleRun();
        if (kind != AnswerKind.SUCCESS) {
            onFailureAnswer();
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
        boolean truncated = !framed && !request.attempts.isHead() && (!relay.isStarted() || relay.isMidEvent());
        return truncated ? StreamEnd.TRUNCATED : StreamEnd.COMPLETE;
    }

    private void onFailureAnswer() {
        request.recordOutcome(server, AnswerKind.isHealthyFailure(status));
        if (kind != AnswerKind.FINAL_FAILURE && phase.allowsResumption()) {
            phase.resume();
        } else if (relay.isStarted()) {
            request.breakOff();
        } else if (kind == AnswerKind.UNUSABLE) {
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
            request.allowance.revokeAttempt();
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
            request.fail(502); // or breaks off what has begun
        }
    }
}
