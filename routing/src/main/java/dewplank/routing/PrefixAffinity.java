package dewplank.routing;

import java.util.List;
import java.util.Optional;

/**
 * Which server owns the prompts that begin alike, and so has their KV cache: rendezvous hashing (Thaler and
 * Ravishankar, 1998) of the key with each server's id. All data planes agree on it without a message, and a server that
 * comes or goes moves its own keys only. Pure; called by {@link PrefillDecodePicker}.
 */
public final class PrefixAffinity {
    private PrefixAffinity() {}

    /**
     * The owner of a key; empty where there are no servers.
     *
     * @param key the last shared part of a prompt
     * @param servers the eligible servers, in any order; of two with one rank the first owns it
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

    /** Spreads a value over all 64 bits, with the multipliers of SplitMix64 (Steele, Lea and Flood, 2014). */
    static long mix(long value) {
        long mixed = value * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 29) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 32;
    }
}
