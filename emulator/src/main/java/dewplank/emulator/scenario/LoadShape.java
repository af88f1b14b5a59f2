package dewplank.emulator.scenario;

/** How the load changes over time. */
public enum LoadShape {
    STEADY,
    /** The load follows a sine wave. */
    WAVE,
    /** The load alternates between two rates, at random intervals. */
    BURSTS
}
