package dewplank.controlplane;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses addresses in the format of messages and endpoint lists. */
final class SocketAddresses {
    private SocketAddresses() {}

    /** Parses an address of the form IP:PORT, without name resolution. */
    static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String[] parts = text.substring(0, colon).split("\\.");
        byte[] ip = new byte[parts.length];
        for (int i = 0; i < parts.length; i++) {
            ip[i] = (byte) Integer.parseInt(parts[i]);
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(ip), Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("not an address of the form IP:PORT: " + text, e);
        }
    }
}
