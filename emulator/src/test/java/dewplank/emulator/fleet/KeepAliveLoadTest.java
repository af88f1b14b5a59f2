package dewplank.emulator.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import dewplank.net.EventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** What the load records of responses that end with the connection. */
class KeepAliveLoadTest {
    /** More than the system buffers for a peer that does not read. */
    private static final int LONG_BODY_BYTES = 16 << 20;

    private static final String ADDRESS = "127.79.0.1";

    @Test
    void aResponseThatEndsBeforeItsRequestIsSentIsNotComplete() throws Exception {
        InetAddress address = InetAddress.getByName(ADDRESS);
        InetSocketAddress platform = new InetSocketAddress(address, 1); // not called
        FleetMachine machine = new FleetMachine("edge-1", MachineClass.EDGE, address, "z", platform);
        EventLoop loop = new EventLoop();
        History history = new History();
        try (ServerSocket dataPlane = new ServerSocket(FleetNetwork.FRONT_PORT, 1, address)) {
            KeepAliveLoad load = new KeepAliveLoad(
                    loop, history, new FleetClient(loop, history), List.of(machine), List.of(longRequest()));
            try (Socket connection = dataPlane.accept()) {
                connection.getInputStream().read();
                connection
                        .getOutputStream()
                        .write("HTTP/1.1 200 OK\r\n\r\npart of".getBytes(StandardCharsets.US_ASCII));
                connection.shutdownOutput();
                FleetEvent.AttemptEnded ended =
                        history.await("the attempt's end", FleetEvent.AttemptEnded.class, event -> true);
                assertEquals("part of", ended.body());
                assertFalse(ended.complete());
            }
            dataPlane.close();
            load.stop();
        } finally {
            loop.stop();
        }
    }

    private static ClientRequest longRequest() {
        RouteSpec route =
                new RouteSpec("once", "h.example", "/once/", RouteSpec.Kind.UNSAFE, List.of(), 1, 8_000, false);
        return new ClientRequest(
                route, "POST", "/once/1", "x".repeat(LONG_BODY_BYTES), 0, Optional.empty(), 8_000, Optional.empty());
    }
}
