package dewplank.message;

/** Orders lists of servers: by the fencing number of the duty under which the list was asked for, then by count. */
public final class EndpointListVersion implements Comparable<EndpointListVersion> {
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
