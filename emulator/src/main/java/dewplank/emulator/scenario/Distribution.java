package dewplank.emulator.scenario;

/** Distributions of durations and work. */
public enum Distribution {
    FIXED,
    /** Exponential. */
    EXP,
    LOGNORMAL,
    GAMMA
}
