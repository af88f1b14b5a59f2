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
 * @param listen the address on which this sidecar receives datagrams, and from which it sends them
 * @param peers the addresses by replica index ({@code Me} in the settings), including this sidecar's own
 * @param broadcast an address that reaches all peers, or null if there is none
 */
public record PeerAddresses(InetSocketAddress listen, List<InetSocketAddress> peers, InetSocketAddress broadcast) {
    private static final int MAX_PEERS = 4_096;

    static PeerAddresses of(Fields fields) {
        InetSocketAddress listen = privateAddress(fields, "peer_listen");
        Fields elements = fields.elements("peers");
        if (elements.keys().size() > MAX_PEERS) {
            throw fields.wrongType("peers", "an array of at most " + MAX_PEERS + " addresses");
        }
        Set<InetSocketAddress> peers = new LinkedHashSet<>();
        for (String key : elements.keys()) {
            if (!peers.add(privateAddress(elements, key))) {
                throw elements.wrongType(key, "an address that differs from the preceding ones");
            }
        }
        return new PeerAddresses(
                listen,
                List.copyOf(peers),
                fields.keys().contains("peers_all") ? privateAddress(fields, "peers_all") : null);
    }

    /**
     * Reads an address and checks that it belongs to the platform's network, which is a private one (RFC 1918, RFC
     * 6598) or loopback, over IPv4. The check prevents a configuration error from sending peer summaries outside this
     * network. Datagrams contain no secrets and are not signed.
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
