package dewplank.message;

/**
 * What a data plane holds; answered at once by a {@link HeartbeatAck}, and by a {@link FleetUpdate} as soon as there
 * is something newer. It also renews the session.
 */
public final class SessionHeartbeat {
    public final long sequence;
    /** 0: none. */
    public final long configurationVersion;

    public final EndpointListVersion listVersion;
    /** Digest of the members held; 0: none. */
    public final long membersDigest;

    public SessionHeartbeat(
            long sequence, long configurationVersion, EndpointListVersion listVersion, long membersDigest) {
        this.sequence = sequence;
        this.configurationVersion = configurationVersion;
        this.listVersion = listVersion;
        this.membersDigest = membersDigest;
    }
}
