package dewplank.sidecar.config;

import dewplank.settings.Addresses;
import dewplank.settings.Fields;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The addresses of the sidecars that exchange health summaries.
 *
 * @param listen where their datagrams arrive, and from where this sidecar sends
 * @param peers by their number ({@code Me} in the settings), this sidecar's own included
 * @param all one address that reaches all of them, or null where there is none
 */
public record PeerAddresses(InetSocketAddress listen, List<InetSocketAddress> peers, InetSocketAddress broadcast) {
    private static final int MAX_PEERS = 4_096;

    static PeerAddresses of(Fields fields) {
        InetSocketAddress listen = privateAddress(fields, "peer_listen");
        Fields elements = fields.elements("peers");
        if (elements.keys().size() > MAX_PEERS) {
            throw fields.wrongType("peers", "an array of " + MAX_PEERS + " addresses at the most");
        }
        Set<InetSocketAddress> peers = new LinkedHashSet<>();
        for (String key : elements.keys()) {
            if (!peers.add(privateAddress(elements, key))) {
                throw elements.wrongType(key, "another address than those before it");
            }
        }
        return new PeerAddresses(
                listen,
                List.copyOf(peers),
                fields.keys().contains("peers_all") ? privateAddress(fields, "peers_all") : null);
    }

    /**
     * The platform's network is a private one (RFC 1918, RFC 6598) or loopback, over IPv4. Guards against what
     * sidecars tell one another leaving it by a slip of the pen: nothing in a datagram is secret or signed.
     */
    private static InetSocketAddress privateAddress(Fields fields, String key) {
        InetSocketAddress address = Addresses.parse(fields, key);
        byte[] ip = address.getAddress().getAddress();
        boolean isCarrierGrade = (ip[0] & 0xff) == 100 && (ip[1] & 0xc0) == 64;
        boolean isPrivate =
                address.getAddress().isLoopbackAddress() || address.getAddress().isSiteLocalAddress() || isCarrierGrade;
        if (ip.length != 4 || !isPrivate) {
            throw fields.wrongType(key, "an IPv4 address of a private network or of loopback");
        }
        return address;
    }
}
