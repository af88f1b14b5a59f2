package dewplank.emulator.loopback;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;

/**
 * Assigns addresses in 127.0.0.0/8. Each pair of a sidecar and a server, directory or peer has a separate address, so
 * that the callee can identify the caller, each pair can be partitioned, and no pair of addresses runs out of ports.
 */
public final class Addresses {
    private static final int HOSTS_PER_OCTET = 250;
    private static final int FIRST_SERVER_OCTET = 64;
    private static final int SIDECAR_OCTET = 1;
    private static final int DIRECTORY_OCTET = 2;
    private static final int PEER_OCTET = 3;
    private static final int PEER_RELAY_OCTET = 4;
    private static final int FLEET_OCTET = 200;
    /** The number of networks for fleets. */
    public static final int MAX_FLEETS = HOSTS_PER_OCTET;

    /** The number of machines in each network. */
    public static final int MAX_MACHINES = HOSTS_PER_OCTET;

    private Addresses() {}

    private static InetAddress of(int firstOctet, int number) {
        int secondOctet = firstOctet + number / (HOSTS_PER_OCTET * HOSTS_PER_OCTET);
        if (secondOctet > 254) {
            throw new IllegalArgumentException("127.0.0.0/8 has too few addresses for the pairs of sidecar and server");
        }
        try {
            return InetAddress.getByAddress(new byte[] {
                127,
                (byte) secondOctet,
                (byte) (number / HOSTS_PER_OCTET % HOSTS_PER_OCTET),
                (byte) (1 + number % HOSTS_PER_OCTET)
            });
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The address at which a sidecar reaches a server; port 0 lets the system choose a free port. */
    static InetSocketAddress server(int sidecar, int server, int servers) {
        return new InetSocketAddress(of(FIRST_SERVER_OCTET, sidecar * servers + server), 0);
    }

    /** The address at which a sidecar reaches the directory, with port 0. */
    static InetSocketAddress directory(int sidecar) {
        return new InetSocketAddress(of(DIRECTORY_OCTET, sidecar), 0);
    }

    /** The address at which a sidecar receives datagrams from its peers, with a port that is currently free. */
    static InetSocketAddress peer(int sidecar) throws IOException {
        InetAddress address = of(PEER_OCTET, sidecar);
        try (DatagramSocket socket = new DatagramSocket(0, address)) {
            return new InetSocketAddress(address, socket.getLocalPort());
        }
    }

    /** The address at which one sidecar reaches another, with port 0. */
    static InetSocketAddress peer(int sidecar, int other, int sidecars) {
        return new InetSocketAddress(of(PEER_RELAY_OCTET, sidecar * sidecars + other), 0);
    }

    /** The address at which a sidecar accepts requests, with a port that is currently free. */
    static InetSocketAddress sidecar(int sidecar) throws IOException {
        InetAddress address = of(SIDECAR_OCTET, sidecar);
        try (ServerSocket socket = new ServerSocket(0, 1, address)) {
            return new InetSocketAddress(address, socket.getLocalPort());
        }
    }

    /** The address of a machine in a fleet; {@code fleet} and {@code machine} start at 0. */
    public static InetAddress machine(int fleet, int machine) {
        return of(FLEET_OCTET, fleet * MAX_MACHINES + machine);
    }

    /** Returns {@code IP:PORT}, the format of settings files and endpoint lists. */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
