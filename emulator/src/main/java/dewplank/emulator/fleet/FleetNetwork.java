package dewplank.emulator.fleet;

import dewplank.emulator.loopback.Addresses;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * The addresses of a fleet's machines in 127.0.0.0/8: one for each machine, with the same ports on all. A network is
 * reserved until {@link #close}, by a socket on its first address.
 */
public final class FleetNetwork implements AutoCloseable {
    static final int FRONT_PORT = 18_144;
    static final int READINESS_PORT = 18_140;
    static final int CONTROL_PORT = 18_146;
    static final int FIRST_INTERNAL_PORT = 17_660;
    static final int LAST_INTERNAL_PORT = 17_675;
    private static final int PLATFORM_PORT = 18_142;
    private static final int SERVER_PORT = 18_080;
    private static final int GUARD_PORT = 18_139;
    private static final int GUARD = 0;
    private static final int FIRST_CONTROL = 10;
    private static final int FIRST_DATA = 40;
    private static final int PLATFORM_OFFSET =
            60; // from the number of a control machine to that of its platform address
    private static final int FIRST_SERVER = 150;

    private final int number;
    private final ServerSocket guard;

    private FleetNetwork(int number, ServerSocket guard) {
        this.number = number;
        this.guard = guard;
    }

    /** Reserves a network that no other process on this machine uses. */
    public static FleetNetwork reserve() throws IOException {
        IOException last = null;
        for (int i = 0; i < Addresses.MAX_FLEETS; i++) {
            try {
                return new FleetNetwork(i, new ServerSocket(GUARD_PORT, 1, Addresses.machine(i, GUARD)));
            } catch (IOException taken) {
                last = taken;
            }
        }
        throw new IOException("no network is free", last);
    }

    InetAddress control(int machine) {
        return Addresses.machine(number, FIRST_CONTROL + machine);
    }

    InetAddress data(int machine) {
        return Addresses.machine(number, FIRST_DATA + machine);
    }

    /** Where a control machine reaches the platform; one address each, so that the platform knows its caller. */
    InetSocketAddress platform(int controlMachine) {
        return new InetSocketAddress(
                Addresses.machine(number, FIRST_CONTROL + PLATFORM_OFFSET + controlMachine), PLATFORM_PORT);
    }

    InetSocketAddress server(int machine) {
        return new InetSocketAddress(Addresses.machine(number, FIRST_SERVER + machine), SERVER_PORT);
    }

    @Override
    public void close() throws IOException {
        guard.close();
    }
}
