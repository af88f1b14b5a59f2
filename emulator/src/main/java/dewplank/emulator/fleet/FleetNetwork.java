package dewplank.emulator.fleet;

import dewplank.emulator.loopback.Addresses;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Assigns addresses in 127.0.0.0/8 to a fleet's machines: one for each machine, with the same ports on all. A socket on
 * the network's first address reserves the network until {@link #close}.
 */
public final class FleetNetwork implements AutoCloseable {
    static final int FRONT_PORT = 18_144;
    static final int READINESS_PORT = 18_140;
    static final int CONTROL_PORT = 18_146;
    static final int FIRST_INTERNAL_PORT = 17_660;
    static final int LAST_INTERNAL_PORT = 17_675;
    private static final int PLATFORM_PORT = 18_142;
    private static final int SERVER_PORT = 18_080;
    private static final int RESERVATION_PORT = 18_139;
    private static final int RESERVATION_MACHINE = 0;
    private static final int FIRST_CONTROL_MACHINE = 10;
    private static final int FIRST_DATA_MACHINE = 40;
    /** Difference between the machine number of a control machine and that of its platform address. */
    private static final int PLATFORM_OFFSET = 60;

    private static final int FIRST_SERVER_MACHINE = 150;

    private final int number;
    private final ServerSocket reservation;

    private FleetNetwork(int number, ServerSocket reservation) {
        this.number = number;
        this.reservation = reservation;
    }

    /** Reserves a network that no other process on this host uses. */
    public static FleetNetwork reserve() throws IOException {
        IOException last = null;
        for (int i = 0; i < Addresses.MAX_FLEETS; i++) {
            try {
                return new FleetNetwork(
                        i, new ServerSocket(RESERVATION_PORT, 1, Addresses.machine(i, RESERVATION_MACHINE)));
            } catch (IOException e) {
                last = e;
            }
        }
        throw new IOException("all networks are in use", last);
    }

    InetAddress control(int machine) {
        return Addresses.machine(number, FIRST_CONTROL_MACHINE + machine);
    }

    InetAddress data(int machine) {
        return Addresses.machine(number, FIRST_DATA_MACHINE + machine);
    }

    /** The platform's address for one control machine. Each machine has a separate one, which identifies the caller. */
    InetSocketAddress platform(int controlMachine) {
        return new InetSocketAddress(
                Addresses.machine(number, FIRST_CONTROL_MACHINE + PLATFORM_OFFSET + controlMachine), PLATFORM_PORT);
    }

    InetSocketAddress server(int machine) {
        return new InetSocketAddress(Addresses.machine(number, FIRST_SERVER_MACHINE + machine), SERVER_PORT);
    }

    @Override
    public void close() throws IOException {
        reservation.close();
    }
}
