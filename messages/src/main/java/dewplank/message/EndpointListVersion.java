package dewplank.message;

/**
 * The version of an {@link EndpointList}: the fencing token of the lease under which the list was requested, and a
 * revision that counts the lists under that token. Versions are ordered by token first, then by revision.
 */
public final class EndpointListVersion implements Comparable<EndpointListVersion> {
    /** A version lower than that of any list. */
    public static final EndpointListVersion NONE = new EndpointListVersion(0, 0);

    public final long fencingToken;
    public final long revision;

    public EndpointListVersion(long fencingToken, long revision) {
        this.fencingToken = fencingToken;
        this.revision = revision;
    }

    @Override
    public int compareTo(EndpointListVersion other) {
        int byToken = Long.compare(fencingToken, other.fencingToken);
        return byToken != 0 ? byToken : Long.compare(revision, other.revision);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof EndpointListVersion v && v.fencingToken == fencingToken && v.revision == revision;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(fencingToken * 31 + revision);
    }

    @Override
    public String toString() {
        return fencingToken + "." + revision;
    }
}
