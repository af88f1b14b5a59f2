package dewplank.lab.audit;

import dewplank.emulator.RecordedEvent;

/**
 * Checks a run for violations of one group of rules and reports them to a {@link ViolationReporter}. The
 * {@link Auditor} calls it for each event, in time order, on the thread that runs the emulated environment.
 */
interface RuleCheck {
    /** Observes an event of a server, a sidecar or the directory, or of an attempt that is no longer stored. */
    default void observe(RecordedEvent event) {}

    /** Observes an event of an attempt. The attempt's state does not include the event yet. */
    default void observe(RecordedEvent event, ObservedAttempt attempt) {
        observe(event);
    }

    /** Checks an attempt for which no further event can arrive in time. */
    default void attemptExpired(ObservedAttempt attempt) {}
}
