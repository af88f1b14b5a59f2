package dewplank.lab.audit;

import dewplank.balancer.Settings.Idempotency;
import dewplank.emulator.RecordedEvent;
import dewplank.emulator.scenario.RequestClassSpec;
import dewplank.emulator.scenario.Scenario;

/**
 * No request takes effect twice, and none is sent where it could: an unsafe request that may have run is not sent
 * again, a keyed one only within its deduplication window and scope, and a client that was refused has not been served.
 */
final class RepetitionCheck implements RuleCheck {
    private final Scenario scenario;
    private final double messageSlackMs;
    private final ViolationReporter reporter;

    /** {@code messageSlackMs}: how much later than its cause an event may be recorded, in milliseconds. */
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
                        "server " + attempt.firstServer() + " had received it, and it may have run");
                case KEYED -> repeatedByKey(event, attempt);
                case SAFE -> {}
            }
        }
        if (attempt.wasRefused() && !attempt.isRefusableAfterRun()) {
            reporter.report(Rule.REFUSED_AFTER_RUN, event, "its client had been refused, which says that it never ran");
        }
    }

    private void repeatedByKey(RecordedEvent event, ObservedAttempt attempt) {
        RequestClassSpec requestClass = attempt.requestClass();
        double sinceFirstMs = event.atMs() - attempt.firstReceivedAtMs();
        if (sinceFirstMs > requestClass.deduplicationWindowMs() + messageSlackMs) {
            reporter.report(
                    Rule.KEYED_AFTER_WINDOW, event, "%.0f ms after it was first received".formatted(sinceFirstMs));
        }
        if (group(requestClass, event.server()) != group(requestClass, attempt.firstServer())) {
            reporter.report(
                    Rule.KEYED_OUTSIDE_SCOPE,
                    event,
                    "server " + attempt.firstServer() + " of another group had received it");
        }
    }

    /** The number of the server's group within the scope in which a key is recognised. */
    private int group(RequestClassSpec requestClass, int server) {
        return switch (requestClass.deduplicationScope()) {
            case ALL -> 0;
            case ZONE -> server % scenario.zones().size();
            case CELL -> server / scenario.servers().cellSize();
        };
    }

    private void effect(RecordedEvent event, ObservedAttempt attempt) {
        if (attempt.hadEffect() && attempt.requestClass().idempotency() != Idempotency.SAFE) {
            reporter.report(Rule.EFFECT_TWICE, event, "it had taken effect before");
        }
    }

    private void refused(RecordedEvent event, ObservedAttempt attempt) {
        if (!attempt.isOver() && attempt.mayHaveRun() && !attempt.isRefusableAfterRun()) {
            reporter.report(Rule.REFUSED_AFTER_RUN, event, "server " + attempt.firstServer() + " had received it");
        }
    }
}
