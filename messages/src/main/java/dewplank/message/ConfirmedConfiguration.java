package dewplank.message;

/**
 * Reports that a quorum confirmed, the given time before the report was sent, that no configuration is newer than this
 * version. Sent by a control plane as part of a {@link HeartbeatAck}.
 */
public final class ConfirmedConfiguration {
    public final long version;
    /** Milliseconds from the start of the round in which the quorum confirmed the version until the report was sent. */
    public final double ageMs;

    public ConfirmedConfiguration(long version, double ageMs) {
        this.version = version;
        this.ageMs = ageMs;
    }
}
