package dewplank.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Reads {@code host:port}, the host as a literal address: there is no DNS beside a sidecar. */
public final class Addresses {
    private Addresses() {}

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
            // named below, as any other malformed address
        }
        throw fields.outOfRange(key, "an address and a port, such as 10.0.0.4:5000");
    }
}
