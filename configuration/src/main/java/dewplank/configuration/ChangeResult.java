package dewplank.configuration;

/** What became of a change. */
public sealed interface ChangeResult {
    /**
     * The change fits; it counts once the next document is chosen.
     *
     * @param next the document with the change taken
     */
    record Accepted(ConfigurationDocument next) implements ChangeResult {}

    /**
     * This very change was taken before.
     *
     * @param version the version that it brought
     */
    record AlreadyAccepted(long version) implements ChangeResult {}

    /**
     * Another version is current than the one the change builds on.
     *
     * @param current the current version
     */
    record VersionMismatch(long current) implements ChangeResult {}

    /**
     * The change builds on a version so old that it is not known any more which change was taken on top of it: it may
     * have been this one, so it is neither confirmed nor refused.
     *
     * @param oldestBase the oldest version for which that is known
     */
    record HistoryExpired(long oldestBase) implements ChangeResult {}

    /**
     * The change cannot be taken.
     *
     * @param error what is wrong with it
     */
    record Invalid(InvalidConfigurationException error) implements ChangeResult {}
}
