package dewplank.message;

/**
 * What a data plane holds; answered at once by a {@link SessionAnswer}, and by an {@link Update} as soon as there is
 * something newer. It also renews the session.
 */
public final class SessionQuestion {
    public final long sequence;
    /** 0: none. */
    public final long configurationVersion;

    public final ListVersion listVersion;
    /** Digest of the members held; 0: none. */
    public final long membersDigest;

    public SessionQuestion(long sequence, long configurationVersion, ListVersion listVersion, long membersDigest) {
        this.sequence = sequence;
        this.configurationVersion = configurationVersion;
        this.listVersion = listVersion;
        this.membersDigest = membersDigest;
    }
}
