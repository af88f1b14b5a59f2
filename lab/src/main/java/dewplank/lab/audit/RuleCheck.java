package dewplank.lab.audit;

import dewplank.emulator.RecordedEvent;

/**
 * Watches a run for breaches of one group of rules and reports them to its {@link ViolationReporter}. Called by the
 * {@link Auditor} for each event, in the order of time, on the thread that runs the world.
 */
interface RuleCheck {
    /** Takes in an event of no remembered attempt: of a server, a sidecar, the directory, an old attempt. */
    default void observe(RecordedEvent event) {}

    /** Takes in an event of an attempt, whose state does not include it yet. */
    default void observe(RecordedEvent event, ObservedAttempt attempt) {
        observe(event);
    }

    /** Judges an attempt of which nothing more can come in time. */
    default void attemptExpired(ObservedAttempt attempt) {}
}
