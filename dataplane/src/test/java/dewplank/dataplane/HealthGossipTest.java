package dewplank.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.exchange.OnLoop;
import dewplank.membership.Member;
import dewplank.routing.HealthSummary;
import dewplank.routing.HealthVotes;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The exchange of health summaries between data planes; the peers are sockets of the test. */
class HealthGossipTest {
    private static final int RECEIVE_TIMEOUT_MS = 20_000;
    private static final long SEED = 5;

    private ForwarderFixture fixture;
    private HealthGossip gossip;

    @BeforeEach
    void setUp() throws Exception {
        fixture = ForwarderFixture.builder().start();
    }

    @AfterEach
    void tearDown() throws Exception {
        gossip.close();
        fixture.close();
    }

    private static Member member(String node, String address) {
        return new Member(node, Member.DATA, address, "z", 1);
    }

    private static String freeAddress() throws Exception {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    @Test
    void aMemberWithAMalformedAddressDoesNotPreventSummariesToOthers() throws Exception {
        Member self = member("self", freeAddress());
        try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            peer.setSoTimeout(RECEIVE_TIMEOUT_MS);
            Member good = member("good", "127.0.0.1:" + peer.getLocalPort());
            List<Member> members = List.of(member("bad", "no address"), good, member("worse", "1.2.3:x"), self);
            OnLoop.run(fixture.loop, () -> fixture.metadata.updateMembers(members));
            gossip = new HealthGossip(fixture.loop, fixture.metadata, new HealthVotes(), self, new Random(SEED));
            gossip.start();
            byte[] buffer = new byte[HealthSummary.MAX_BYTES];
            for (int round = 0; round < 2; round++) {
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                peer.receive(packet);
                assertTrue(packet.getLength() > 0);
                assertEquals("127.0.0.1", packet.getAddress().getHostAddress());
            }
        }
    }
}
