package dewplank.lab.audit;

import dewplank.emulator.RecordedEvent;
import dewplank.emulator.RecordedEvent.Type;
import java.util.HashMap;
import java.util.Map;

/**
 * Each request gets one final answer, its own, in time. A sidecar that was down in between is excused for what it lost.
 */
final class AnswerCheck implements RuleCheck {
    private static final String NEVER_ENDED = "no end of it was recorded";

    private final double answerSlackMs;
    private final double messageSlackMs;
    private final ViolationReporter reporter;
    private final Map<Integer, Double> sidecarDownAtMs = new HashMap<>();
    private final Map<Integer, Double> sidecarUpAtMs = new HashMap<>();

    /**
     * Both slacks in milliseconds.
     *
     * @param answerSlackMs how much later than the deadline an answer may come, by the rules
     * @param messageSlackMs how much later than its cause an event may be recorded
     */
    AnswerCheck(double answerSlackMs, double messageSlackMs, ViolationReporter reporter) {
        this.answerSlackMs = answerSlackMs;
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
        if (isComplete && attempt.hasCompleteAnswer()) {
            reporter.report(Rule.ANSWERED_TWICE, event, "it had a complete answer already");
        }
        if (attempt.isOver()) {
            return; // an answer that was in flight when the client left
        }
        switch (event.type()) {
            case SERVED -> {
                checkTime(event, attempt);
                checkOrigin(event, attempt);
            }
            case REFUSED, FAILED -> checkTime(event, attempt);
            case UNREACHABLE -> checkLoss(event, attempt);
            case ABANDONED -> checkPatience(event);
            default -> {}
        }
    }

    @Override
    public void attemptExpired(ObservedAttempt attempt) {
        if (!attempt.isOver()) {
            reporter.report(Rule.NOT_ANSWERED, attempt.sent(), NEVER_ENDED);
        }
    }

    private void checkTime(RecordedEvent event, ObservedAttempt attempt) {
        double latestAtMs = attempt.deadlineMs() + answerSlackMs + messageSlackMs;
        if (event.atMs() > latestAtMs) {
            reporter.report(
                    Rule.ANSWERED_AFTER_DEADLINE,
                    event,
                    "%.0f ms after its deadline".formatted(event.atMs() - attempt.deadlineMs()));
        }
    }

    private void checkOrigin(RecordedEvent event, ObservedAttempt attempt) {
        if (!attempt.wasReceived()) {
            reporter.report(Rule.WRONG_ANSWER, event, "no server received it");
        } else if (event.value() != event.request()) {
            reporter.report(Rule.WRONG_ANSWER, event, "the answer was made for another request");
        }
    }

    private void checkLoss(RecordedEvent event, ObservedAttempt attempt) {
        if (!wasDownBetween(event.sidecar(), attempt.sent().atMs() - messageSlackMs, event.atMs())) {
            reporter.report(Rule.LOST, event, "its sidecar ran the whole time");
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

    private void checkPatience(RecordedEvent event) {
        boolean leftByChoice = event.value() != 0;
        if (!leftByChoice) {
            reporter.report(Rule.NOT_ANSWERED, event, "the client waited until its deadline");
        }
    }
}
