package dewplank.message;

/** Orders lists of servers: by the fencing number of the duty under which the list was asked for, then by count. */
public final class EndpointListVersion implements Comparable<EndpointListVersion> {
    public static final EndpointListVersion NONE = new EndpointListVersion(0, 0);

    public final long fencingNumber;
    public final long revision;

    public EndpointListVersion(long fencingNumber, long revision) {
        this.fencingNumber = fencingNumber;
        this.revision = revision;
    }

    @Override
    public int compareTo(EndpointListVersion other) {
        int byNumber = Long.compare(fencingNumber, other.fencingNumber);
        return byNumber != 0 ? byNumber : Long.compare(revision, other.revision);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof EndpointListVersion v && v.fencingNumber == fencingNumber && v.revision == revision;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(fencingNumber * 31 + revision);
    }

    @Override
    public String toString() {
        return fencingNumber + "." + revision;
    }
}
