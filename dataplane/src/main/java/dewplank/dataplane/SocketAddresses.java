package dewplank.dataplane;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses the addresses of the form IP:PORT by which programs of the fleet name each other. */
final class SocketAddresses {
    private SocketAddresses() {}

    /**
     * The address; never looks a name up, as there is no name service beside a sidecar.
     *
     * @throws IllegalArgumentException where the text has another form
     */
    static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            String[] parts = text.substring(0, colon).split("\\.");
            byte[] ip = new byte[parts.length];
            for (int i = 0; i < parts.length; i++) {
                ip[i] = (byte) Integer.parseInt(parts[i]);
            }
            return new InetSocketAddress(InetAddress.getByAddress(ip), Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException // no IPv4 or IPv6 length
                | IndexOutOfBoundsException // no colon
                | IllegalArgumentException e) { // a part that is no number, or a port beyond 65,535
            throw new IllegalArgumentException("not an address of the form IP:PORT: " + text, e);
        }
    }
}
