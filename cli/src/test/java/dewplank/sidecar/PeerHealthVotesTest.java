package dewplank.sidecar;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicIntegerArray;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Health votes between sidecars: three processes of the program behind a stand-in network for their datagrams, which
 * can lose them. A server fails for the first two and serves the third, the quiet one, whose own traffic says nothing
 * against it: where the quiet one avoids the server, it does so by the votes of the others.
 */
class PeerHealthVotesTest {
    private static final int PROCESSES = 3;
    /** The process without traffic of its own; those before it have some. */
    private static final int QUIET = 2;

    private static final int SERVERS = 4;
    private static final int FAILING = 0;
    private static final int HEALTHY = 1;
    private static final int MAX_BLOCKS = 200;
    /** Requests, of which a server that is picked gets about a quarter. */
    private static final int BLOCK_SIZE = 200;

    private static final int TIMEOUT_S = 30;
    /** How long a vote counts after it was sent. */
    private static final long VOTE_VALID_MS = 3_000;

    private static final int MAX_DATAGRAM_BYTES = 512;

    private final List<ScriptedPeer> servers = new ArrayList<>();
    private final List<Program> programs = new ArrayList<>();
    private final AtomicIntegerArray quietRequests = new AtomicIntegerArray(SERVERS);
    private Network network;
    private ScriptedPeer discovery;
    private volatile boolean isOver;

    /** A vote against a server, by the number of its sender, and when the network received it. */
    private record Accusation(int sender, long receivedAtNanos) {}

    /**
     * Receives each sidecar's datagrams at an address of its own, and forwards them from the sidecar's address in
     * {@code peers}. One thread for each sender.
     */
    private static final class Network implements Closeable {
        final List<DatagramSocket> receivers = new ArrayList<>();
        final List<DatagramSocket> senders = new ArrayList<>();
        final List<InetSocketAddress> peerAddresses = new ArrayList<>();
        final BlockingQueue<Accusation> accusations = new LinkedBlockingQueue<>();
        volatile boolean losesAll = true;

        Network() throws IOException {
            for (int sender = 0; sender < PROCESSES; sender++) {
                receivers.add(new DatagramSocket(0, InetAddress.getLoopbackAddress()));
                senders.add(new DatagramSocket(0, InetAddress.getLoopbackAddress()));
                peerAddresses.add(freePeerAddress(sender));
                int number = sender;
                LoopbackNetwork.background(() -> forwardAll(number));
            }
        }

        /** On an address that nothing else uses: no other process takes the port before the program binds it. */
        private static InetSocketAddress freePeerAddress(int number) throws UnknownHostException, SocketException {
            InetAddress host = InetAddress.getByName("127.0.0." + (2 + number));
            try (DatagramSocket socket = new DatagramSocket(0, host)) {
                return (InetSocketAddress) socket.getLocalSocketAddress();
            }
        }

        private void forwardAll(int sender) throws IOException {
            DatagramPacket packet = new DatagramPacket(new byte[MAX_DATAGRAM_BYTES], MAX_DATAGRAM_BYTES);
            while (true) {
                packet.setLength(MAX_DATAGRAM_BYTES);
                receivers.get(sender).receive(packet);
                byte[] bytes = Arrays.copyOf(packet.getData(), packet.getLength());
                if (!PeerSummary.decode(bytes).unhealthyServers().isEmpty()) {
                    accusations.add(new Accusation(sender, System.nanoTime()));
                }
                forward(sender, bytes);
            }
        }

        private void forward(int sender, byte[] bytes) throws IOException {
            for (int to = 0; to < PROCESSES && !losesAll; to++) {
                if (to != sender) {
                    senders.get(sender).send(new DatagramPacket(bytes, bytes.length, peerAddresses.get(to)));
                }
            }
        }

        @Override
        public void close() {
            receivers.forEach(DatagramSocket::close);
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
            Files.writeString(file, configuration(number, port));
            Path java = Path.of(System.getProperty("java.home"), "bin", "java");
            String classPath = System.getProperty("java.class.path");
            ProcessBuilder builder = new ProcessBuilder(java.toString(), "-cp", classPath, "dewplank.Main", "serve")
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
            assertNotNull(line, "the process has ended");
            LoopbackNetwork.background(() -> {
                while (log.readLine() != null) {}
            });
        }

        Client client() throws IOException {
            return new Client(port);
        }
    }

    private String configuration(int number, int port) {
        List<String> peers = new ArrayList<>();
        for (DatagramSocket sender : network.senders) {
            peers.add("\"127.0.0.1:" + sender.getLocalPort() + "\"");
        }
        List<String> endpoints = new ArrayList<>();
        for (int i = 0; i < servers.size(); i++) {
            endpoints.add(servers.get(i).endpointJson("s" + i, "active"));
        }
        String settings = LoopbackNetwork.SETTINGS
                .replace("\"Peers\":false", "\"Peers\":true")
                .replace("\"Me\":0", "\"Me\":" + number)
                .replace("\"ReplicasOfMe\":1", "\"ReplicasOfMe\":" + PROCESSES);
        InetSocketAddress peerListen = network.peerAddresses.get(number);
        return "{\"name\":\"n" + number + "\",\"listen\":\"127.0.0.1:" + port
                + "\",\"discovery\":\"127.0.0.1:" + discovery.address().getPort()
                + "\",\"seed\":\"" + (number + 5)
                + "\",\"peer_listen\":\"" + peerListen.getAddress().getHostAddress() + ":" + peerListen.getPort()
                + "\",\"peers\":" + peers
                + ",\"peers_all\":\"127.0.0.1:" + network.receivers.get(number).getLocalPort()
                + "\",\"known\":" + LoopbackNetwork.catalogJson(7, true, endpoints)
                + ",\"settings\":" + settings + "}";
    }

    private static void sendRequest(Client client, String from) throws IOException {
        client.send(Client.request("menu-read", "X-From: " + from + "\r\nContent-Length: 0\r\n"));
        client.read();
    }

    @BeforeEach
    void start() throws Exception {
        network = new Network();
        discovery = new ScriptedPeer();
        for (int number = 0; number < SERVERS; number++) {
            startServer(number);
        }
        for (int number = 0; number < PROCESSES; number++) {
            programs.add(new Program(number));
        }
        for (Program program : programs) {
            program.awaitServing();
        }
        for (int number = 0; number < QUIET; number++) {
            startClient(programs.get(number));
        }
    }

    private void startServer(int number) throws IOException {
        ScriptedPeer server = new ScriptedPeer();
        servers.add(server);
        LoopbackNetwork.background(() -> {
            while (true) {
                ReceivedRequest request = server.next();
                if (request.message() != null) {
                    respond(request, number);
                }
            }
        });
    }

    private void respond(ReceivedRequest request, int server) throws IOException {
        if (request.message().contains("X-From: quiet")) {
            quietRequests.incrementAndGet(server);
        }
        boolean fails = server == FAILING && request.message().contains("X-From: busy");
        request.respond(fails ? "500 Bad" : "200 OK", "");
    }

    private void startClient(Program program) throws IOException {
        Client client = program.client();
        LoopbackNetwork.background(() -> {
            while (!isOver) {
                sendRequest(client, "busy");
                Thread.sleep(10);
            }
        });
    }

    @AfterEach
    void stop() throws Exception {
        isOver = true;
        for (Program program : programs) {
            program.process.destroyForcibly().waitFor();
        }
        network.close();
        discovery.close();
        for (ScriptedPeer server : servers) {
            server.close();
        }
    }

    /** Waits for a new accusation by each busy process; when the network received the older of them. */
    private long awaitAccusationsOfBoth() throws InterruptedException {
        Map<Integer, Accusation> newest = new HashMap<>();
        network.accusations.clear();
        while (newest.size() < QUIET) {
            Accusation accusation = network.accusations.poll(TIMEOUT_S, TimeUnit.SECONDS);
            assertNotNull(accusation, "a busy process sent no vote against the failing server");
            newest.put(accusation.sender(), accusation);
        }
        return newest.values().stream()
                .mapToLong(Accusation::receivedAtNanos)
                .min()
                .orElseThrow();
    }

    /**
     * Whether a server got more of a block of requests of the quiet process's client than trials would bring it, of
     * which there is one a second.
     */
    private boolean isPicked(Client client, int server) throws IOException {
        int before = quietRequests.get(server);
        long beganAtNanos = System.nanoTime();
        for (int i = 0; i < BLOCK_SIZE; i++) {
            sendRequest(client, "quiet");
        }
        long maxTrials = 2 + TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - beganAtNanos);
        return quietRequests.get(server) - before > maxTrials;
    }

    /** As {@link #isPicked} for the failing server, of a block that ended while the votes of both busy ones counted. */
    private boolean isFailingServerPickedWhileBothVotesCount(Client client) throws Exception {
        for (int block = 0; block < MAX_BLOCKS; block++) {
            long votedAtNanos = awaitAccusationsOfBoth();
            boolean isPicked = isPicked(client, FAILING);
            if (System.nanoTime() - votedAtNanos < TimeUnit.MILLISECONDS.toNanos(VOTE_VALID_MS)) {
                return isPicked;
            }
        }
        throw new AssertionError("no block of requests ended while both votes counted");
    }

    /** As many strangers as there are processes vote against a healthy server. */
    private void sendForgedVotes() throws IOException {
        byte[] forged = new PeerSummary(System.currentTimeMillis(), List.of(("s" + HEALTHY).hashCode())).encode();
        for (int i = 0; i < PROCESSES; i++) {
            try (DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
                stranger.send(new DatagramPacket(forged, forged.length, network.peerAddresses.get(QUIET)));
            }
        }
    }

    /** One slow response keeps a server from being picked for seconds, so more than one block may be needed. */
    private void awaitPicked(Client client, int server, String otherwise) throws IOException {
        for (int block = 0; !isPicked(client, server); block++) {
            assertTrue(block < MAX_BLOCKS, otherwise);
        }
    }

    @Test
    void onlyVotesReceivedFromLivePeersCount() throws Exception {
        awaitAccusationsOfBoth();
        Client quiet = programs.get(QUIET).client();
        awaitPicked(quiet, FAILING, "lost votes count");

        sendForgedVotes();
        for (int block = 0; !isPicked(quiet, HEALTHY); block++) {
            assertTrue(block < MAX_BLOCKS, "votes of strangers count");
            sendForgedVotes();
        }

        network.losesAll = false;
        awaitAccusationsOfBoth();
        awaitAccusationsOfBoth(); // what was sent before this has arrived
        assertFalse(isFailingServerPickedWhileBothVotesCount(quiet), "votes of both others don't count");

        programs.get(0).process.destroyForcibly().waitFor();
        awaitPicked(quiet, FAILING, "the vote of a killed process still counts"); // one vote of two is no majority
    }
}
