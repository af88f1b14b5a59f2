package dewplank.configuration;

/** The result of applying a change with {@link ConfigurationDocument#apply}. */
public sealed interface ChangeResult {
    /**
     * The change is valid; it takes effect once the register has chosen the next document.
     *
     * @param next the document with the change applied
     */
    record Accepted(ConfigurationDocument next) implements ChangeResult {}

    /**
     * The same change was accepted before; this request is a retry of it.
     *
     * @param version the version that the change produced
     */
    record AlreadyAccepted(long version) implements ChangeResult {}

    /**
     * The change is not based on the current version.
     *
     * @param current the current version
     */
    record VersionMismatch(long current) implements ChangeResult {}

    /**
     * The change is based on a version so old that the history no longer contains the change that was accepted on top
     * of it. That change may have been this one, so this one is neither confirmed nor rejected.
     *
     * @param oldestBaseVersion the oldest version for which the history contains the change accepted on top of it
     */
    record HistoryExpired(long oldestBaseVersion) implements ChangeResult {}

    /**
     * The change is invalid.
     *
     * @param error what is wrong with it
     */
    record Invalid(InvalidConfigurationException error) implements ChangeResult {}
}
