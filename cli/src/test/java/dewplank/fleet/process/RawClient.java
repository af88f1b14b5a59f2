package dewplank.fleet.process;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection that sends any bytes. */
final class RawClient implements AutoCloseable {
    private static final int TIMEOUT_MS = 15_000;

    private final Socket socket = new Socket();
    private final InputStream in;

    RawClient(InetSocketAddress to) throws IOException {
        socket.connect(to, TIMEOUT_MS);
        socket.setSoTimeout(TIMEOUT_MS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends bytes; returns false if the peer has closed the connection. */
    boolean send(byte[]... parts) {
        try {
            for (byte[] part : parts) {
                socket.getOutputStream().write(part);
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a request for a path of the configuration of {@link dewplank.fleet.FleetHarness}. */
    boolean post(String host, String path, String attemptId, int bodyBytes) {
        String head = "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Dewplank-Request-Attempt-Id: " + attemptId
                + "\r\nX-Dewplank-Remaining-Time-Ms: 12000\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
        return send(head.getBytes(StandardCharsets.US_ASCII), new byte[bodyBytes]);
    }

    /** The status and the size of a response; the status is 0 if the connection ended before the response was whole. */
    record Response(int status, long bodyBytes) {}

    /** Whether bytes of a response have arrived. */
    boolean hasReceived() throws IOException {
        return in.available() > 0;
    }

    /** Reads one response, with a length or in chunks. */
    Response read() {
        try {
            String head = readHead();
            int status = Integer.parseInt(head.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length()));
            String lower = head.toLowerCase(java.util.Locale.ROOT);
            if (lower.contains("transfer-encoding: chunked")) {
                return new Response(status, readChunks());
            }
            int at = lower.indexOf("content-length: ");
            long length = at < 0
                    ? 0
                    : Long.parseLong(lower.substring(at + "content-length: ".length(), lower.indexOf('\r', at)));
            in.skipNBytes(length);
            return new Response(status, length);
        } catch (IOException | StringIndexOutOfBoundsException e) {
            return new Response(0, 0);
        }
    }

    /** Reads a response of a known length at a limited rate, and returns the bytes of its body that have come. */
    long readSlowly(long bodyBytes, long bytesPerSecond) {
        long received = 0;
        try {
            readHead();
            long startNanos = System.nanoTime();
            byte[] piece = new byte[16 * 1024];
            while (received < bodyBytes) {
                int count = in.read(piece);
                if (count < 0) {
                    return received;
                }
                received += count;
                long aheadMs = received * 1_000 / bytesPerSecond - (System.nanoTime() - startNanos) / 1_000_000;
                Thread.sleep(Math.max(0, aheadMs));
            }
        } catch (IOException e) {
            return received;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return received;
    }

    private long readChunks() throws IOException {
        long total = 0;
        while (true) {
            int size = Integer.parseInt(readLine(), 16);
            in.skipNBytes(size + 2L);
            if (size == 0) {
                return total;
            }
            total += size;
        }
    }

    private String readHead() throws IOException {
        StringBuilder head = new StringBuilder();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            head.append(line).append("\r\n");
        }
        return head.toString();
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("the connection ended");
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1).strip();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
