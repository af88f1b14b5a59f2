package dewplank.lab.audit;

import dewplank.emulator.RecordedEvent;

/** Where a {@link RuleCheck} reports what it found. */
@FunctionalInterface
interface ViolationReporter {
    /**
     * Reports a broken rule.
     *
     * @param event at which it showed; its request's timeline is kept with the violation
     * @param description what was wrong, for people
     */
    void report(Rule rule, RecordedEvent event, String description);
}
