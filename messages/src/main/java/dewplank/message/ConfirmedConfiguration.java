package dewplank.message;

/**
 * A control plane's statement that, so long before it was sent, a quorum confirmed that no configuration is newer than
 * this version. Part of a {@link HeartbeatAck}.
 */
public final class ConfirmedConfiguration {
    public final long version;
    /** Milliseconds from the start of the round by which the quorum confirmed it until the statement was sent. */
    public final double ageMs;

    public ConfirmedConfiguration(long version, double ageMs) {
        this.version = version;
        this.ageMs = ageMs;
    }
}
