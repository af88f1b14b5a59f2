package dewplank.lab.audit;

import dewplank.balancer.Settings.Idempotency;
import dewplank.emulator.RecordedEvent;
import dewplank.emulator.scenario.RequestClassSpec;
import dewplank.emulator.scenario.Scenario;

/**
 * Checks that no request takes effect twice or is sent in a way that risks it. An unsafe request that may have run must
 * not be sent again, a keyed one only within its deduplication window and scope, and a request must not have run if
 * its client received a rejection, unless a retry is harmless.
 */
final class RepetitionCheck implements RuleCheck {
    private final Scenario scenario;
    private final double messageSlackMs;
    private final ViolationReporter reporter;

    /** {@code messageSlackMs}: maximum delay between the cause of an event and its record, in milliseconds. */
    RepetitionCheck(Scenario scenario, double messageSlackMs, ViolationReporter reporter) {
        this.scenario = scenario;
        this.messageSlackMs = messageSlackMs;
        this.reporter = reporter;
    }

    @Override
    public void observe(RecordedEvent event, ObservedAttempt attempt) {
        switch (event.type()) {
            case RECEIVED -> received(event, attempt);
            case EFFECT -> effect(event, attempt);
            case REFUSED -> refused(event, attempt);
            default -> {}
        }
    }

    private void received(RecordedEvent event, ObservedAttempt attempt) {
        if (attempt.mayHaveRun()) {
            switch (attempt.requestClass().idempotency()) {
                case UNSAFE -> reporter.report(
                        Rule.SENT_TWICE,
                        event,
                        "server " + attempt.firstServer() + " had received the request, and it may have run");
                case KEYED -> checkKeyedRepetition(event, attempt);
                case SAFE -> {}
            }
        }
        if (attempt.wasRefused() && !attempt.mayBeRefusedAfterRun()) {
            reporter.report(
                    Rule.REFUSED_AFTER_RUN,
                    event,
                    "the client had been rejected, which states that the request never ran");
        }
    }

    private void checkKeyedRepetition(RecordedEvent event, ObservedAttempt attempt) {
        RequestClassSpec requestClass = attempt.requestClass();
        double sinceFirstMs = event.atMs() - attempt.firstReceivedAtMs();
        if (sinceFirstMs > requestClass.deduplicationWindowMs() + messageSlackMs) {
            reporter.report(
                    Rule.KEYED_AFTER_WINDOW,
                    event,
                    "%.0f ms after the request was first received".formatted(sinceFirstMs));
        }
        if (group(requestClass, event.server()) != group(requestClass, attempt.firstServer())) {
            reporter.report(
                    Rule.KEYED_OUTSIDE_SCOPE,
                    event,
                    "server " + attempt.firstServer() + " of another group had received the request");
        }
    }

    /** The number of the server's group, within which a deduplication key is recognized. */
    private int group(RequestClassSpec requestClass, int server) {
        return switch (requestClass.deduplicationScope()) {
            case ALL -> 0;
            case ZONE -> server % scenario.zones().size();
            case CELL -> server / scenario.servers().cellSize();
        };
    }

    private void effect(RecordedEvent event, ObservedAttempt attempt) {
        if (attempt.hadEffect() && attempt.requestClass().idempotency() != Idempotency.SAFE) {
            reporter.report(Rule.EFFECT_TWICE, event, "the request had already taken effect");
        }
    }

    private void refused(RecordedEvent event, ObservedAttempt attempt) {
        if (!attempt.hasEnded() && attempt.mayHaveRun() && !attempt.mayBeRefusedAfterRun()) {
            reporter.report(
                    Rule.REFUSED_AFTER_RUN, event, "server " + attempt.firstServer() + " had received the request");
        }
    }
}
