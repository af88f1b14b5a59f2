package dewplank.emulator.scenario;

/** Distributions of drawn times and work. */
public enum Distribution {
    FIXED,
    /** Exponential. */
    EXP,
    LOGNORMAL,
    GAMMA
}
