package dewplank.routing;

import java.util.List;

/**
 * Which server keeps the prompts that begin alike: rendezvous hashing (Thaler and Ravishankar, 1998) over the last
 * shared part, on which all sidecars agree without a word.
 */
public final class PrefixAffinity {
    private PrefixAffinity() {}

    /** The server for that key, or null if there is none. */
    public static TrackedServer ownerOf(String key, List<TrackedServer> servers) {
        TrackedServer first = null;
        long most = 0;
        for (TrackedServer s : servers) {
            long rank = mix(s.instanceId().hashCode() * 31L + key.hashCode());
            if (first == null || rank > most) {
                most = rank;
                first = s;
            }
        }
        return first;
    }

    static long mix(long value) {
        long mixed = value * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 29) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 32;
    }
}
