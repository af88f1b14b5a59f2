package dewplank.sidecar.config;

import dewplank.settings.Addresses;
import dewplank.settings.Fields;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Where the other sidecars of the tier are.
 *
 * @param listen where their datagrams arrive, and from where this sidecar sends
 * @param peers by their number ({@code Me} in the settings), this sidecar's own place included
 * @param all one address that reaches all of them, or null where there is none
 */
public record PeerAddresses(InetSocketAddress listen, List<InetSocketAddress> peers, InetSocketAddress all) {
    private static final int MOST = 4_096;

    static PeerAddresses of(Fields c) {
        InetSocketAddress listen = peer(c, "peer_listen");
        Fields elements = c.elements("peers");
        if (elements.keys().size() > MOST) {
            throw c.wrongType("peers", "an array of " + MOST + " addresses at the most");
        }
        Set<InetSocketAddress> peers = new LinkedHashSet<>();
        for (String key : elements.keys()) {
            if (!peers.add(peer(elements, key))) {
                throw elements.wrongType(key, "another address than those before it");
            }
        }
        return new PeerAddresses(
                listen, List.copyOf(peers), c.keys().contains("peers_all") ? peer(c, "peers_all") : null);
    }

    /**
     * The platform's network is a private one (RFC 1918, RFC 6598) or loopback, over IPv4. Guards against what
     * sidecars tell one another leaving it by a slip of the pen: nothing in a datagram is secret or signed.
     */
    private static InetSocketAddress peer(Fields c, String key) {
        InetSocketAddress at = Addresses.parse(c, key);
        byte[] ip = at.getAddress().getAddress();
        boolean shared = (ip[0] & 0xff) == 100 && (ip[1] & 0xc0) == 64;
        boolean own = at.getAddress().isLoopbackAddress() || at.getAddress().isSiteLocalAddress() || shared;
        if (ip.length != 4 || !own) {
            throw c.wrongType(key, "an IPv4 address of a private network or of loopback");
        }
        return at;
    }
}
