package dewplank.emulator.scenario;

/** How the load changes over time. */
public enum LoadShape {
    STEADY,
    /** A sine. */
    WAVE,
    /** Two rates that alternate, each for a drawn time. */
    BURSTS
}
