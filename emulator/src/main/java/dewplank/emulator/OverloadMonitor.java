package dewplank.emulator;

import dewplank.emulator.scenario.OverloadSlowdown;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

/**
 * Determines when a server slows down after a sustained overload and when it recovers, according to its
 * {@link OverloadSlowdown}.
 */
final class OverloadMonitor {
    /** Tolerance for rounding errors in timer times. */
    private static final double ROUNDING_MS = 1e-6;

    private enum Phase {
        NORMAL,
        /** Above the limit, still at normal speed. */
        OVERLOADED,
        SLOWED_DOWN,
        /** Slowed down, with the number of requests low enough to recover. */
        RECOVERING;

        private boolean canBecome(Phase next) {
            return switch (this) {
                case NORMAL -> next == OVERLOADED;
                case OVERLOADED -> next == NORMAL || next == SLOWED_DOWN;
                case SLOWED_DOWN -> next == RECOVERING || next == NORMAL;
                case RECOVERING -> next == SLOWED_DOWN || next == NORMAL;
            };
        }
    }

    private final EmulatedEnvironment environment;
    private final OverloadSlowdown rules;
    private final double maxInFlight;
    private final IntSupplier requestsInFlight;
    private final Consumer<Boolean> onSlowdownChanged;
    private Phase phase = Phase.NORMAL;
    private double phaseSinceMs;
    private double slowedDownAtMs;
    private int processes;

    /** {@code onSlowdownChanged} is called with true when the slowdown starts, and with false when it ends. */
    OverloadMonitor(
            EmulatedEnvironment environment,
            OverloadSlowdown rules,
            int cores,
            IntSupplier requestsInFlight,
            Consumer<Boolean> onSlowdownChanged) {
        this.environment = environment;
        this.rules = rules;
        this.maxInFlight = rules.maxRequestsPerCore() * cores;
        this.requestsInFlight = requestsInFlight;
        this.onSlowdownChanged = onSlowdownChanged;
    }

    boolean isSlowedDown() {
        return phase == Phase.SLOWED_DOWN || phase == Phase.RECOVERING;
    }

    /** Must be called when the number of requests has changed; also runs when a duration of the rules has elapsed. */
    void update() {
        if (rules.maxRequestsPerCore() <= 0) {
            return;
        }
        int inFlight = requestsInFlight.getAsInt();
        boolean isOverloaded = inFlight > maxInFlight;
        boolean isTooBusyToRecover = inFlight > rules.recoveryFactor() * maxInFlight;
        switch (phase) {
            case NORMAL -> {
                if (isOverloaded) {
                    enter(Phase.OVERLOADED);
                    environment.schedule(rules.triggerMs(), this::update);
                }
            }
            case OVERLOADED -> {
                if (!isOverloaded) {
                    enter(Phase.NORMAL);
                } else if (hasLasted(rules.triggerMs())) {
                    slowDown();
                }
            }
            case SLOWED_DOWN -> {
                if (!isTooBusyToRecover) {
                    enter(Phase.RECOVERING);
                    environment.schedule(rules.recoveryMs(), this::update);
                }
            }
            case RECOVERING -> {
                if (isTooBusyToRecover) {
                    enter(Phase.SLOWED_DOWN);
                } else if (hasLasted(rules.recoveryMs())) {
                    recover();
                }
            }
        }
    }

    private boolean hasLasted(double durationMs) {
        return environment.now() - phaseSinceMs >= durationMs - ROUNDING_MS;
    }

    private void enter(Phase next) {
        if (!phase.canBecome(next)) {
            throw new IllegalStateException(phase + " cannot become " + next);
        }
        phase = next;
        phaseSinceMs = environment.now();
    }

    private void slowDown() {
        enter(Phase.SLOWED_DOWN);
        slowedDownAtMs = environment.now();
        int process = processes;
        environment.schedule(rules.maxMs(), () -> {
            if (isSlowedDown()
                    && process == processes
                    && environment.now() - slowedDownAtMs >= rules.maxMs() - ROUNDING_MS) {
                recover();
            }
        });
        onSlowdownChanged.accept(true);
    }

    private void recover() {
        enter(Phase.NORMAL);
        onSlowdownChanged.accept(false);
    }

    /** Resets the phase after the process has ended, and invalidates that process's slowdown timer. */
    void onProcessEnded() {
        processes++;
        phase = Phase.NORMAL;
    }
}
