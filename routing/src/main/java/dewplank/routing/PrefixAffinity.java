package dewplank.routing;

import java.util.List;
import java.util.Optional;

/**
 * Determines which server owns the prompts with a common prefix and therefore has the prefix in its KV cache. It uses
 * rendezvous hashing (Thaler and Ravishankar, 1998) of the key with each server's id. All data planes agree on the
 * owner without communication, and when a server is added or removed, only its own keys change their owner. Pure
 * function; called by {@link PrefillDecodePicker}.
 */
public final class PrefixAffinity {
    private PrefixAffinity() {}

    /**
     * Returns the owner of a key; empty if there are no servers.
     *
     * @param key the id of the last shared segment of a prompt
     * @param servers the eligible servers, in any order; of servers with the same rank the first one is the owner
     */
    public static Optional<TrackedServer> ownerOf(String key, List<TrackedServer> servers) {
        TrackedServer owner = null;
        long maxRank = 0;
        for (TrackedServer server : servers) {
            long rank = mix(server.instanceId().hashCode() * 31L + key.hashCode());
            if (owner == null || rank > maxRank) {
                maxRank = rank;
                owner = server;
            }
        }
        return Optional.ofNullable(owner);
    }

    /** Hashes a value to 64 bits with the multipliers of SplitMix64 (Steele, Lea and Flood, 2014). */
    static long mix(long value) {
        long mixed = value * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 29) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 32;
    }
}
