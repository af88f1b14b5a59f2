package dewplank.emulator.loopback;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;

/**
 * Addresses in 127.0.0.0/8. Each sidecar reaches every party at an address kept for it alone: so a party knows who is
 * calling, links can be cut pair by pair, and no pair of addresses runs out of ports.
 */
public final class Addresses {
    private static final int EACH = 250;
    private static final int SERVERS_FROM = 64;
    private static final int SIDECARS = 1;
    private static final int DIRECTORIES = 2;
    private static final int PEERS = 3;
    private static final int PEERS_MET = 4;
    private static final int FLEETS = 200;
    /** Networks of fleets that there is room for, and machines in each. */
    public static final int MOST_FLEETS = EACH;

    public static final int MOST_MACHINES = EACH;

    private Addresses() {}

    private static InetAddress of(int first, int number) {
        int second = first + number / (EACH * EACH);
        if (second > 254) {
            throw new IllegalArgumentException("127.0.0.0/8 has no room for so many pairs of sidecar and server");
        }
        try {
            return InetAddress.getByAddress(
                    new byte[] {127, (byte) second, (byte) (number / EACH % EACH), (byte) (1 + number % EACH)});
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Port 0: any that is free there. */
    static InetSocketAddress server(int sidecar, int server, int servers) {
        return new InetSocketAddress(of(SERVERS_FROM, sidecar * servers + server), 0);
    }

    static InetSocketAddress directory(int sidecar) {
        return new InetSocketAddress(of(DIRECTORIES, sidecar), 0);
    }

    /** Where a sidecar hears the others; with a port for datagrams that is free now. */
    static InetSocketAddress peer(int sidecar) throws IOException {
        InetAddress address = of(PEERS, sidecar);
        try (DatagramSocket socket = new DatagramSocket(0, address)) {
            return new InetSocketAddress(address, socket.getLocalPort());
        }
    }

    /** Where one sidecar reaches another. */
    static InetSocketAddress peer(int sidecar, int other, int sidecars) {
        return new InetSocketAddress(of(PEERS_MET, sidecar * sidecars + other), 0);
    }

    /** With a port that is free now. */
    static InetSocketAddress sidecar(int sidecar) throws IOException {
        InetAddress address = of(SIDECARS, sidecar);
        try (ServerSocket socket = new ServerSocket(0, 1, address)) {
            return new InetSocketAddress(address, socket.getLocalPort());
        }
    }

    /** A machine of a fleet; {@code fleet} and {@code machine} count from 0. */
    public static InetAddress machine(int fleet, int machine) {
        return of(FLEETS, fleet * MOST_MACHINES + machine);
    }

    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
