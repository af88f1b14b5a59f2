package dewplank.configuration;

/** The result of a change: how {@link ConfigurationDocument#apply} answers it. */
public sealed interface ChangeResult {
    /**
     * The change is valid; it is in force once the register has chosen the next document.
     *
     * @param next the document with the change applied
     */
    record Accepted(ConfigurationDocument next) implements ChangeResult {}

    /**
     * The same change was accepted before: this is a retry of it.
     *
     * @param version the version that it brought
     */
    record AlreadyAccepted(long version) implements ChangeResult {}

    /**
     * The current version is another one than the change builds on.
     *
     * @param current the current version
     */
    record VersionMismatch(long current) implements ChangeResult {}

    /**
     * The change builds on a version so old that the history no longer says which change was accepted on top of it. It
     * may have been this one, so the change is neither confirmed nor rejected.
     *
     * @param oldestBase the oldest version for which the history says it
     */
    record HistoryExpired(long oldestBase) implements ChangeResult {}

    /**
     * The change is invalid.
     *
     * @param error what is wrong with it
     */
    record Invalid(InvalidConfigurationException error) implements ChangeResult {}
}
