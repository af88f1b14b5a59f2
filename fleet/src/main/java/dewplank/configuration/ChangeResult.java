package dewplank.configuration;

/** What became of a change. */
public sealed interface ChangeResult {
    /**
     * The change fits; it counts once the next document is chosen.
     *
     * @param next the document with the change taken
     */
    record Accepted(ConfigurationDocument next) implements ChangeResult { }

    /**
     * This very change was taken before.
     *
     * @param version the version that it brought
     */
    record AlreadyAccepted(long version) implements ChangeResult { }

    /**
     * Another version is current than the one the change builds on.
     *
     * @param current the current version
     */
    record VersionMismatch(long current) implements ChangeResult { }

    /**
     * The change cannot be taken.
     *
     * @param error what is wrong with it
     */
    record Invalid(InvalidConfigurationException error) implements ChangeResult { }
}
