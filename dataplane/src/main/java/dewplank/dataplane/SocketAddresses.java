package dewplank.dataplane;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses addresses of the form IP:PORT, by which processes of the fleet identify each other. */
final class SocketAddresses {
    private SocketAddresses() {}

    /**
     * Parses an address. Never resolves a host name, because no DNS resolver is available to the process.
     *
     * @throws IllegalArgumentException if the text has another form
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
        } catch (UnknownHostException // not the length of an IPv4 or IPv6 address
                | IndexOutOfBoundsException // no colon
                | IllegalArgumentException e) { // a part that is not a number, or a port above 65,535
            throw new IllegalArgumentException("not an address of the form IP:PORT: " + text, e);
        }
    }
}
