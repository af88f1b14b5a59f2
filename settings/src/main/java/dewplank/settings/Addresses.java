package dewplank.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses {@code host:port}. The host must be a literal IP address, because a proxy has no DNS available. */
public final class Addresses {
    private Addresses() {}

    /**
     * Parses the address that is the value of a key.
     *
     * @throws InvalidInputException if it is missing or malformed; the message names the key
     */
    public static InetSocketAddress parse(Fields fields, String key) {
        String text = fields.text(key);
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            String host = text.substring(0, Math.max(0, colon));
            if (host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]") && port > 0 && port < 65536) {
                return new InetSocketAddress(InetAddress.getByName(host), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            // reported below as a malformed address
        }
        throw fields.outOfRange(key, "an address and a port, such as 10.0.0.4:5000");
    }
}
