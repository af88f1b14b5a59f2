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
 * Health votes between three sidecar processes, whose datagrams pass through a stand-in network that can drop them. One
 * server fails requests of the first two processes (the busy ones) and serves those of the third (the observer). The
 * requests of the observer don't fail, so it avoids the server only because of the votes of the busy processes.
 */
class PeerHealthVotesTest {
    private static final int PROCESSES = 3;
    /** The process that only forwards requests of the test; the processes before it have a constant load. */
    private static final int OBSERVER = 2;

    private static final int SERVERS = 4;
    private static final int FAILING = 0;
    private static final int HEALTHY = 1;
    private static final int MAX_BLOCKS = 200;
    /** The number of requests in a block; a server that is picked receives about a quarter of them. */
    private static final int BLOCK_SIZE = 200;

    private static final int TIMEOUT_S = 30;
    /** How long a vote is valid after it was sent. */
    private static final long VOTE_VALID_MS = 3_000;

    private static final int MAX_DATAGRAM_BYTES = 512;

    private final List<ScriptedPeer> servers = new ArrayList<>();
    private final List<Program> programs = new ArrayList<>();
    private final AtomicIntegerArray observerRequests = new AtomicIntegerArray(SERVERS);
    private Network network;
    private ScriptedPeer discovery;
    private volatile boolean isStopped;

    /** A vote against a server: the number of the sending process and the time at which the network received it. */
    private record Vote(int sender, long receivedAtNanos) {}

    /**
     * Receives the datagrams of each sidecar at a separate address and forwards them from the address that
     * {@code peers} lists for that sidecar. There is one thread for each sender.
     */
    private static final class Network implements Closeable {
        final List<DatagramSocket> receivers = new ArrayList<>();
        final List<DatagramSocket> senders = new ArrayList<>();
        final List<InetSocketAddress> peerAddresses = new ArrayList<>();
        final BlockingQueue<Vote> votes = new LinkedBlockingQueue<>();
        volatile boolean dropsAll = true;

        Network() throws IOException {
            for (int sender = 0; sender < PROCESSES; sender++) {
                receivers.add(new DatagramSocket(0, InetAddress.getLoopbackAddress()));
                senders.add(new DatagramSocket(0, InetAddress.getLoopbackAddress()));
                peerAddresses.add(freePeerAddress(sender));
                int number = sender;
                LoopbackNetwork.background(() -> forwardAll(number));
            }
        }

        /** Nothing else uses these addresses, so no other process can take the port before the program binds it. */
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
                    votes.add(new Vote(sender, System.nanoTime()));
                }
                forward(sender, bytes);
            }
        }

        private void forward(int sender, byte[] bytes) throws IOException {
            for (int to = 0; to < PROCESSES && !dropsAll; to++) {
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

    /** A sidecar process. */
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
            assertNotNull(line, "the process has exited");
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
        for (int number = 0; number < OBSERVER; number++) {
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
        if (request.message().contains("X-From: observer")) {
            observerRequests.incrementAndGet(server);
        }
        boolean fails = server == FAILING && request.message().contains("X-From: busy");
        request.respond(fails ? "500 Bad" : "200 OK", "");
    }

    private void startClient(Program program) throws IOException {
        Client client = program.client();
        LoopbackNetwork.background(() -> {
            while (!isStopped) {
                sendRequest(client, "busy");
                Thread.sleep(10);
            }
        });
    }

    @AfterEach
    void stop() throws Exception {
        isStopped = true;
        for (Program program : programs) {
            program.process.destroyForcibly().waitFor();
        }
        network.close();
        discovery.close();
        for (ScriptedPeer server : servers) {
            server.close();
        }
    }

    /** Waits for a new vote of each busy process and returns the time at which the first of them was received. */
    private long awaitVotesOfBothBusyProcesses() throws InterruptedException {
        Map<Integer, Vote> newest = new HashMap<>();
        network.votes.clear();
        while (newest.size() < OBSERVER) {
            Vote vote = network.votes.poll(TIMEOUT_S, TimeUnit.SECONDS);
            assertNotNull(vote, "a busy process sent no vote against the failing server");
            newest.put(vote.sender(), vote);
        }
        return newest.values().stream().mapToLong(Vote::receivedAtNanos).min().orElseThrow();
    }

    /**
     * Sends a block of requests through the observer and returns whether the server received more of them than the
     * trial requests to an avoided server, of which there is one per second.
     */
    private boolean isPicked(Client client, int server) throws IOException {
        int before = observerRequests.get(server);
        long startedAtNanos = System.nanoTime();
        for (int i = 0; i < BLOCK_SIZE; i++) {
            sendRequest(client, "observer");
        }
        long maxTrials = 2 + TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startedAtNanos);
        return observerRequests.get(server) - before > maxTrials;
    }

    /** Returns {@link #isPicked} of the failing server for a block that completed while both votes were valid. */
    private boolean isFailingServerPickedWhileBothVotesAreValid(Client client) throws Exception {
        for (int block = 0; block < MAX_BLOCKS; block++) {
            long votedAtNanos = awaitVotesOfBothBusyProcesses();
            boolean isPicked = isPicked(client, FAILING);
            if (System.nanoTime() - votedAtNanos < TimeUnit.MILLISECONDS.toNanos(VOTE_VALID_MS)) {
                return isPicked;
            }
        }
        throw new AssertionError("no block of requests completed while both votes were valid");
    }

    /** Sends votes against a healthy server from as many unknown senders as there are processes. */
    private void sendForgedVotes() throws IOException {
        byte[] forged = new PeerSummary(System.currentTimeMillis(), List.of(("s" + HEALTHY).hashCode())).encode();
        for (int i = 0; i < PROCESSES; i++) {
            try (DatagramSocket unknownSender = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
                unknownSender.send(new DatagramPacket(forged, forged.length, network.peerAddresses.get(OBSERVER)));
            }
        }
    }

    /** After one slow response a server is not picked for seconds, so several blocks may be needed. */
    private void awaitPicked(Client client, int server, String message) throws IOException {
        for (int block = 0; !isPicked(client, server); block++) {
            assertTrue(block < MAX_BLOCKS, message);
        }
    }

    @Test
    void onlyVotesReceivedFromLivePeersAreCounted() throws Exception {
        awaitVotesOfBothBusyProcesses();
        Client observer = programs.get(OBSERVER).client();
        awaitPicked(observer, FAILING, "dropped votes are counted");

        sendForgedVotes();
        for (int block = 0; !isPicked(observer, HEALTHY); block++) {
            assertTrue(block < MAX_BLOCKS, "votes of unknown senders are counted");
            sendForgedVotes();
        }

        network.dropsAll = false;
        awaitVotesOfBothBusyProcesses();
        awaitVotesOfBothBusyProcesses(); // all earlier votes have arrived by now
        assertFalse(
                isFailingServerPickedWhileBothVotesAreValid(observer),
                "the votes of both other processes are not counted");

        programs.get(0).process.destroyForcibly().waitFor();
        awaitPicked(
                observer,
                FAILING,
                "the vote of a killed process is still counted"); // one vote is not a majority of two
    }
}
