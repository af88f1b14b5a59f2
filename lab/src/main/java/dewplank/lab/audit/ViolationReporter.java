package dewplank.lab.audit;

import dewplank.emulator.RecordedEvent;

/** Receives the violations that a {@link RuleCheck} detects. */
@FunctionalInterface
interface ViolationReporter {
    /**
     * Reports a violation.
     *
     * @param event the event at which the violation was detected; the timeline of its request is stored with it
     * @param description a human-readable description
     */
    void report(Rule rule, RecordedEvent event, String description);
}
