package dewplank.message;

/**
 * A data plane's heartbeat: renews its session and says which versions it has.
 *
 * <p>The control plane replies at once by a {@link HeartbeatAck}, and by a {@link FleetUpdate} as soon as it has
 * something newer.
 */
public final class SessionHeartbeat {
    /** Counts the heartbeats of one session; the ack repeats it. */
    public final long sequence;

    /** 0 before the first. */
    public final long configurationVersion;

    public final EndpointListVersion listVersion;
    /** Digest of the membership that the data plane has; 0 before the first. */
    public final long membersDigest;

    public SessionHeartbeat(
            long sequence, long configurationVersion, EndpointListVersion listVersion, long membersDigest) {
        this.sequence = sequence;
        this.configurationVersion = configurationVersion;
        this.listVersion = listVersion;
        this.membersDigest = membersDigest;
    }
}
