package dewplank.sidecar;

import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import dewplank.balancer.health.PeerSummary;
import dewplank.sidecar.LoopbackNetwork.Client;
import dewplank.sidecar.LoopbackNetwork.ReceivedRequest;
import dewplank.sidecar.LoopbackNetwork.ScriptedPeer;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicIntegerArray;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/**
 * Three processes of the program behind a stand-in network for their datagrams, which can lose them. A server fails for
 * the first two and serves the third, whose own traffic says nothing against it: what it avoids, it has heard of.
 */
public class PeerHealthVotesTest {
    private static final int PROCESSES = 3;
    private static final int QUIET = 2; // the process without traffic; those before it have some
    private static final int SERVERS = 4;
    private static final int FAILING = 0;
    private static final int HEALTHY = 1;
    private static final int MAX_BLOCKS = 200;
    private static final int BLOCK_SIZE = 200; // requests, of which a server that is drawn takes about a quarter
    private static final int TIMEOUT_S = 30;

    private final List<ScriptedPeer> servers = new ArrayList<>();
    private final List<Program> programs = new ArrayList<>();
    private final AtomicIntegerArray quietRequests = new AtomicIntegerArray(SERVERS);
    private Network network;
    private ScriptedPeer discovery;
    private volatile boolean isOver;

    /**
     * Takes each sidecar's datagrams at an address of its own, and passes them on from its address in {@code peers}.
     */
    private static final class Network implements Closeable {
        final List<DatagramSocket> outgoing = new ArrayList<>();
        final List<DatagramSocket> senders = new ArrayList<>();
        final List<InetSocketAddress> peerAddresses = new ArrayList<>();
        final BlockingQueue<Integer> accusers = new LinkedBlockingQueue<>();
        volatile boolean losesAll = true;

        Network() throws SocketException {
            for (int i = 0; i < PROCESSES; i++) {
                outgoing.add(new DatagramSocket(0, InetAddress.getLoopbackAddress()));
                senders.add(new DatagramSocket(0, InetAddress.getLoopbackAddress()));
                try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
                    peerAddresses.add((InetSocketAddress) free.getLocalSocketAddress());
                }
                int from = i;
                LoopbackNetwork.background(() -> forward(from));
            }
        }

        private void forward(int from) throws IOException {
            DatagramPacket packet = new DatagramPacket(new byte[512], 512);
            while (true) {
                packet.setLength(512);
                outgoing.get(from).receive(packet);
                byte[] bytes = java.util.Arrays.copyOf(packet.getData(), packet.getLength());
                if (!PeerSummary.decode(bytes).unhealthyServers().isEmpty()) {
                    accusers.add(from);
                }
                for (int to = 0; to < PROCESSES && !losesAll; to++) {
                    if (to != from) {
                        senders.get(from).send(new DatagramPacket(bytes, bytes.length, peerAddresses.get(to)));
                    }
                }
            }
        }

        @Override
        public void close() {
            outgoing.forEach(DatagramSocket::close);
            senders.forEach(DatagramSocket::close);
        }
    }

    /** One process of the program. */
    private final class Program {
        final Process process;
        final int port;

        Program(int number) throws IOException {
            port = LoopbackNetwork.freePort();
            Path file = Files.createTempFile("config", ".json");
            file.toFile().deleteOnExit();
            List<String> peers = new ArrayList<>();
            for (DatagramSocket s : network.senders) {
                peers.add("\"127.0.0.1:" + s.getLocalPort() + "\"");
            }
            List<String> entries = new ArrayList<>();
            for (int i = 0; i < servers.size(); i++) {
                entries.add(servers.get(i).endpointJson("s" + i, "active"));
            }
            String settings = LoopbackNetwork.SETTINGS
                    .replace("\"Peers\":false", "\"Peers\":true")
                    .replace("\"Me\":0", "\"Me\":" + number)
                    .replace("\"ReplicasOfMe\":1", "\"ReplicasOfMe\":" + PROCESSES);
            Files.writeString(
                    file,
                    "{\"name\":\"n" + number + "\",\"listen\":\"127.0.0.1:" + port
                            + "\",\"discovery\":\"127.0.0.1:"
                            + discovery.address().getPort() + "\",\"seed\":\"" + (number + 5)
                            + "\",\"peer_listen\":\"127.0.0.1:"
                            + network.peerAddresses.get(number).getPort() + "\",\"peers\":" + peers
                            + ",\"peers_all\":\"127.0.0.1:"
                            + network.outgoing.get(number).getLocalPort() + "\",\"known\":"
                            + LoopbackNetwork.catalogJson(7, true, entries) + ",\"settings\":" + settings + "}");
            ProcessBuilder builder = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-cp",
                            System.getProperty("java.class.path"),
                            "dewplank.Main",
                            "serve")
                    .redirectErrorStream(true);
            builder.environment().put("GW_CONFIG", file.toString());
            process = builder.start();
        }

        void awaitServing() throws IOException {
            BufferedReader log = process.inputReader();
            String line = log.readLine();
            while (line != null && !line.contains(" serves on ")) {
                line = log.readLine();
            }
            assertTrue("it has ended", line != null);
            LoopbackNetwork.background(() -> {
                while (log.readLine() != null) {}
            });
        }

        Client client() throws IOException {
            return new Client(port);
        }
    }

    private static void sendRequest(Client client, String from) throws IOException {
        client.send(Client.request("menu-read", "X-From: " + from + "\r\nContent-Length: 0\r\n"));
        client.read();
    }

    @Before
    public void start() throws Exception {
        network = new Network();
        discovery = new ScriptedPeer();
        for (int i = 0; i < SERVERS; i++) {
            ScriptedPeer server = new ScriptedPeer();
            int number = i;
            servers.add(server);
            LoopbackNetwork.background(() -> {
                while (true) {
                    ReceivedRequest e = server.next();
                    if (e.message() != null) {
                        if (e.message().contains("X-From: quiet")) {
                            quietRequests.incrementAndGet(number);
                        }
                        boolean fails = number == FAILING && e.message().contains("X-From: busy");
                        e.respond(fails ? "500 Bad" : "200 OK", "");
                    }
                }
            });
        }
        for (int i = 0; i < PROCESSES; i++) {
            programs.add(new Program(i));
        }
        for (Program p : programs) {
            p.awaitServing();
        }
        for (int i = 0; i < QUIET; i++) {
            Client client = programs.get(i).client();
            LoopbackNetwork.background(() -> {
                while (!isOver) {
                    sendRequest(client, "busy");
                    Thread.sleep(10);
                }
            });
        }
    }

    @After
    public void stop() throws Exception {
        isOver = true;
        for (Program p : programs) {
            p.process.destroyForcibly().waitFor();
        }
        network.close();
        discovery.close();
        for (ScriptedPeer p : servers) {
            p.close();
        }
    }

    private void awaitAccusationsOfBoth() throws Exception {
        ConcurrentHashMap.KeySetView<Integer, Boolean> seen = ConcurrentHashMap.newKeySet();
        network.accusers.clear();
        while (seen.size() < QUIET) {
            Integer from = network.accusers.poll(TIMEOUT_S, TimeUnit.SECONDS);
            assertTrue("no process has judged the failing server", from != null);
            seen.add(from);
        }
    }

    /**
     * Whether a block of requests of the quiet one's client met this server more often than trials would, one a second.
     */
    private boolean isPicked(Client client, int server) throws IOException {
        int before = quietRequests.get(server);
        long began = System.nanoTime();
        for (int i = 0; i < BLOCK_SIZE; i++) {
            sendRequest(client, "quiet");
        }
        return quietRequests.get(server) - before > 2 + (System.nanoTime() - began) / 1_000_000_000L;
    }

    /** As many strangers as there are processes call a healthy server ill. */
    private void sendForgedVotes() throws IOException {
        byte[] forged = new PeerSummary(System.currentTimeMillis(), List.of(("s" + HEALTHY).hashCode())).encode();
        for (int i = 0; i < PROCESSES; i++) {
            try (DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
                stranger.send(new DatagramPacket(forged, forged.length, network.peerAddresses.get(QUIET)));
            }
        }
    }

    @Test
    public void onlyVotesReceivedFromLivePeersCount() throws Exception {
        awaitAccusationsOfBoth();
        Client quiet = programs.get(QUIET).client();
        for (int i = 0; !isPicked(quiet, FAILING); i++) { // one slow answer keeps a server from being drawn for seconds
            assertTrue("votes that were lost are heard", i < MAX_BLOCKS);
        }
        for (int i = 0; i == 0 || !isPicked(quiet, HEALTHY); i++) {
            assertTrue("strangers are believed", i < MAX_BLOCKS);
            sendForgedVotes();
        }
        network.losesAll = false;
        awaitAccusationsOfBoth();
        awaitAccusationsOfBoth(); // what was sent before this has arrived
        assertFalse("it is sent to a server that both others call ill", isPicked(quiet, FAILING));
        programs.get(0).process.destroyForcibly().waitFor();
        for (int i = 0; !isPicked(quiet, FAILING); i++) { // one vote of two is no majority
            assertTrue("the votes of one that was killed still count", i < MAX_BLOCKS);
        }
    }
}
