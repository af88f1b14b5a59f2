package dewplank.lab.audit;

import dewplank.emulator.RecordedEvent;
import dewplank.emulator.RecordedEvent.Type;
import java.util.HashMap;
import java.util.Map;

/**
 * Checks that each request gets exactly one final response, which belongs to this request and arrives in time. Requests
 * that were lost while their sidecar was down are not violations.
 */
final class ResponseCheck implements RuleCheck {
    private static final String NO_END_RECORDED = "the end of the request was not recorded";

    private final double responseSlackMs;
    private final double messageSlackMs;
    private final ViolationReporter reporter;
    private final Map<Integer, Double> sidecarDownAtMs = new HashMap<>();
    private final Map<Integer, Double> sidecarUpAtMs = new HashMap<>();

    /**
     * Both slacks are in milliseconds.
     *
     * @param responseSlackMs how long after the deadline the rules allow a response to arrive
     * @param messageSlackMs maximum delay between the cause of an event and its record
     */
    ResponseCheck(double responseSlackMs, double messageSlackMs, ViolationReporter reporter) {
        this.responseSlackMs = responseSlackMs;
        this.messageSlackMs = messageSlackMs;
        this.reporter = reporter;
    }

    @Override
    public void observe(RecordedEvent event) {
        if (event.type() == Type.SIDECAR_KILLED) {
            sidecarDownAtMs.put(event.sidecar(), event.atMs());
        } else if (event.type() == Type.SIDECAR_UP) {
            sidecarUpAtMs.put(event.sidecar(), event.atMs());
        }
    }

    @Override
    public void observe(RecordedEvent event, ObservedAttempt attempt) {
        boolean isComplete = event.type() == Type.SERVED || event.type() == Type.REFUSED || event.type() == Type.FAILED;
        if (isComplete && attempt.hasCompleteResponse()) {
            reporter.report(Rule.ANSWERED_TWICE, event, "the client already had a complete response");
        }
        if (attempt.hasEnded()) {
            return; // a response that was in flight when the client abandoned the request
        }
        switch (event.type()) {
            case SERVED -> {
                checkDeadline(event, attempt);
                checkOrigin(event, attempt);
            }
            case REFUSED, FAILED -> checkDeadline(event, attempt);
            case UNREACHABLE -> checkLostConnection(event, attempt);
            case ABANDONED -> checkAbandonment(event);
            default -> {}
        }
    }

    @Override
    public void attemptExpired(ObservedAttempt attempt) {
        if (!attempt.hasEnded()) {
            reporter.report(Rule.NOT_ANSWERED, attempt.sent(), NO_END_RECORDED);
        }
    }

    private void checkDeadline(RecordedEvent event, ObservedAttempt attempt) {
        double latestAtMs = attempt.deadlineMs() + responseSlackMs + messageSlackMs;
        if (event.atMs() > latestAtMs) {
            reporter.report(
                    Rule.ANSWERED_AFTER_DEADLINE,
                    event,
                    "response %.0f ms after the deadline".formatted(event.atMs() - attempt.deadlineMs()));
        }
    }

    private void checkOrigin(RecordedEvent event, ObservedAttempt attempt) {
        if (!attempt.wasReceived()) {
            reporter.report(Rule.WRONG_ANSWER, event, "no server received the request");
        } else if (event.value() != event.request()) {
            reporter.report(Rule.WRONG_ANSWER, event, "the response was made for another request");
        }
    }

    private void checkLostConnection(RecordedEvent event, ObservedAttempt attempt) {
        if (!wasDownBetween(event.sidecar(), attempt.sent().atMs() - messageSlackMs, event.atMs())) {
            reporter.report(Rule.LOST, event, "the sidecar ran the whole time");
        }
    }

    private boolean wasDownBetween(int sidecar, double fromMs, double toMs) {
        Double downAtMs = sidecarDownAtMs.get(sidecar);
        Double upAtMs = sidecarUpAtMs.get(sidecar);
        if (upAtMs == null) {
            return true;
        }
        return downAtMs != null && downAtMs <= toMs && (upAtMs < downAtMs || upAtMs + messageSlackMs >= fromMs);
    }

    private void checkAbandonment(RecordedEvent event) {
        boolean abandonedByChoice = event.value() != 0;
        if (!abandonedByChoice) {
            reporter.report(Rule.NOT_ANSWERED, event, "the client waited until its deadline");
        }
    }
}
