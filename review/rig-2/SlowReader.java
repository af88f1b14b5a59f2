import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A client on a link of 12 Mbit/s gets a long answer from a machine that was sent SIGTERM. It reads all the time, and
 * would have the whole answer some four seconds after its start, long before grace_s is over.
 */
final class SlowReader {
    private static final int ANSWER_BYTES = 6_000_000;
    private static final int BYTES_PER_S = 1_500_000;
    private static final int PIECE = 15_000;
    private static final int WORK_MS = 400;
    /** Within the time for which new connections are accepted after SIGTERM. */
    private static final int SENT_AFTER_TERM_MS = 2_400;

    private SlowReader() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args, SlowReader::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        rig.createFleet(3, 1, 390);
        Rig.PlainServer server = rig.new PlainServer("i-up", "s-up", "127.77.1.101", WORK_MS, ANSWER_BYTES);
        rig.new PlainServer("i-label", "s-label", "127.77.1.102", 2, 800);
        rig.startAll();
        rig.putConfiguration(LargeBodies.configuration(), 0, 20_000);
        rig.awaitReady("edge-0", 20_000);
        Thread.sleep(4_000);
        Rig.Node edge = rig.node("edge-0");
        double termAt = rig.ms();
        if (trouble) {
            edge.process.destroy(); // SIGTERM
            rig.note("SIGTERM to edge-0");
        }
        Thread.sleep(SENT_AFTER_TERM_MS);
        boolean whole;
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(64 * 1024);
            socket.connect(new InetSocketAddress(edge.ip, rig.front), 1_000);
            socket.setSoTimeout(5_000);
            String request = "POST /upload/x HTTP/1.1\r\nHost: ficu95.example\r\n"
                    + "X-Dewplank-Request-Attempt-Id: slow1\r\nX-Dewplank-Remaining-Time-Ms: 7500\r\n"
                    + "Content-Length: 3\r\n\r\nabc";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            rig.note("request sent " + Math.round(rig.ms() - termAt) + " ms after SIGTERM or its time");
            whole = readSlowly(rig, socket.getInputStream(), termAt);
        }
        rig.note("runs at the server: " + server.runs.get("slow1") + ", edge-0 alive at the end of the answer: "
                + edge.isAlive());
        return !whole;
    }

    private static boolean readSlowly(Rig rig, InputStream in, double termAt) throws Exception {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        byte[] piece = new byte[PIECE];
        double startedAt = -1;
        String end = "whole";
        try {
            while (received.size() < ANSWER_BYTES || bodyBytes(received) < ANSWER_BYTES) {
                int count = in.read(piece);
                if (count < 0) {
                    end = "the connection ended";
                    break;
                }
                startedAt = startedAt < 0 ? rig.ms() : startedAt;
                received.write(piece, 0, count);
                double aheadMs = received.size() * 1_000.0 / BYTES_PER_S - (rig.ms() - startedAt);
                if (aheadMs > 1) {
                    Thread.sleep((long) aheadMs);
                }
            }
        } catch (IOException e) {
            end = e.toString();
        }
        String head = received.toString(StandardCharsets.ISO_8859_1);
        rig.note("answered: " + head.substring(0, Math.max(0, head.indexOf("\r\n"))) + ", Content-Length "
                + (head.contains("Content-Length: " + ANSWER_BYTES) ? ANSWER_BYTES : "other") + ", body bytes "
                + bodyBytes(received) + ", " + end + ", " + Math.round(rig.ms() - startedAt)
                + " ms after its first byte, " + Math.round(rig.ms() - termAt) + " ms after SIGTERM or its time");
        return bodyBytes(received) == ANSWER_BYTES;
    }

    private static int bodyBytes(ByteArrayOutputStream received) {
        if (received.size() < 100) {
            return 0;
        }
        if (received.size() < ANSWER_BYTES) {
            return bodyStart(received) < 0 ? 0 : received.size() - bodyStart(received);
        }
        return received.size() - bodyStart(received);
    }

    private static int headEnd = -1;

    private static int bodyStart(ByteArrayOutputStream received) {
        if (headEnd < 0) {
            int at = received.toString(StandardCharsets.ISO_8859_1).indexOf("\r\n\r\n");
            headEnd = at < 0 ? -1 : at + 4;
        }
        return headEnd;
    }
}
