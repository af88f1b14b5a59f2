package dewplank.dataplane;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Reads addresses of the form IP:PORT that other programs name. */
final class SocketAddresses {
    private SocketAddresses() {}

    /** Never looks a name up: there is no name service beside a sidecar. */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        try {
            String[] parts = text.substring(0, colon).split("\\.");
            byte[] ip = new byte[parts.length];
            for (int i = 0; i < parts.length; i++) {
                ip[i] = (byte) Integer.parseInt(parts[i]);
            }
            return new InetSocketAddress(InetAddress.getByAddress(ip), Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException | RuntimeException e) {
            throw new IllegalArgumentException("not an address of the form IP:PORT: " + text, e);
        }
    }
}
