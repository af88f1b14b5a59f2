package dewplank.fleet.process;

import dewplank.emulator.fleet.FleetMachine;
import dewplank.emulator.fleet.MachineClass;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Sends bytes to the ports of one process that are no valid message, or the start of a long one that never ends. */
public final class HostileBytes {
    private static final int INTERNAL_PORT = 17_660;
    private static final int CONNECTIONS = 12;
    private static final int FRAME_BYTES = 8 * 1024 * 1024;
    private static final int BODY_BYTES = 4_000_000;
    private static final int MAX_NOISE_BYTES = 4_000;
    private static final int MESSAGE_TYPES = 20;
    private static final String START = "POST /none HTTP/1.1\r\nHost: x\r\n";
    private static final int SHORT_FIELDS = 3_800;
    private static final int CHUNKS = 60_000;

    private HostileBytes() {}

    /** Sends one kind of bytes, drawn from {@code random}, over some connections. The process may be down. */
    public static void send(FleetMachine machine, Random random) {
        boolean isControlPlane = machine.machineClass() == MachineClass.CORE;
        List<InetSocketAddress> ports = isControlPlane
                ? List.of(machine.control(), new InetSocketAddress(machine.address(), INTERNAL_PORT))
                : List.of(machine.front(), machine.readiness());
        InetSocketAddress to = ports.get(random.nextInt(ports.size()));
        List<byte[]> parts = parts(random);
        List<RawClient> clients = new ArrayList<>();
        try {
            for (int i = 0; i < CONNECTIONS; i++) {
                RawClient client = new RawClient(to);
                clients.add(client);
                parts.forEach(client::send);
            }
        } catch (IOException e) {
            System.out.println("hostile bytes: " + machine.node() + " is down: " + e.getMessage());
        } finally {
            clients.forEach(HostileBytes::close);
        }
    }

    private static List<byte[]> parts(Random random) {
        byte[] noise = new byte[1 + random.nextInt(MAX_NOISE_BYTES)];
        random.nextBytes(noise);
        int type = random.nextInt(MESSAGE_TYPES);
        return switch (random.nextInt(9)) {
            case 0 -> List.of(noise);
            case 1 -> List.of(frameHead(noise.length, type), noise);
            case 2 -> List.of(frameHead(FRAME_BYTES, type));
            case 3 -> List.of(frameHead(FRAME_BYTES, type), new byte[FRAME_BYTES / 2]);
            case 4 -> List.of(
                    ascii("PUT /configuration HTTP/1.1\r\nHost: x\r\nIf-Match: 0\r\nContent-Length: " + BODY_BYTES
                            + "\r\n\r\n"),
                    new byte[BODY_BYTES - 1]);
            case 5 -> List.of(ascii(START + "a:\r\n".repeat(SHORT_FIELDS)));
            case 6 -> List.of(ascii(START + "Connection: a\r\n".repeat(SHORT_FIELDS / 4) + "\r\n"));
            case 7 -> List.of(ascii(START + "Transfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(CHUNKS)));
            default -> List.of(
                    ascii(START + "Content-Length: " + MAX_NOISE_BYTES + "\r\n\r\n"), new byte[MAX_NOISE_BYTES - 1]);
        };
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] frameHead(int length, int type) {
        return ByteBuffer.allocate(Integer.BYTES + 1)
                .putInt(length)
                .put((byte) type)
                .array();
    }

    private static void close(RawClient client) {
        try {
            client.close();
        } catch (IOException e) {
            System.out.println("hostile bytes: " + e.getMessage());
        }
    }
}
