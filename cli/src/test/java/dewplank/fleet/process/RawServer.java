package dewplank.fleet.process;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A server of a service that reads requests of any length and responds with bodies of a given length, on threads. */
final class RawServer implements AutoCloseable {
    private static final int BACKLOG = 256;
    private static final int PIECE_BYTES = 64 * 1024;

    private final ServerSocket listener;
    private final String instanceId;
    private final int responseBytes;
    private final boolean sendsLength;
    private final int delayMs;

    /** Starts the server, which responds {@code delayMs} after it has read a request. */
    RawServer(InetAddress address, int port, String instanceId, int responseBytes, boolean sendsLength, int delayMs)
            throws IOException {
        this.delayMs = delayMs;
        this.listener = new ServerSocket(port, BACKLOG, address);
        this.instanceId = instanceId;
        this.responseBytes = responseBytes;
        this.sendsLength = sendsLength;
        daemon(this::accept);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return; // closed
            }
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "raw-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = new BufferedOutputStream(socket.getOutputStream(), PIECE_BYTES);
            Map<String, String> head = readHead(in);
            while (!head.isEmpty()) {
                in.skipNBytes(Long.parseLong(head.getOrDefault("content-length", "0")));
                Thread.sleep(delayMs);
                respond(out, head.get("x-dewplank-request-attempt-id"));
                if (!sendsLength) {
                    return;
                }
                head = readHead(in);
            }
        } catch (IOException | InterruptedException e) {
            return; // the data plane has closed the connection
        }
    }

    private static Map<String, String> readHead(InputStream in) throws IOException {
        Map<String, String> fields = new TreeMap<>();
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next != '\n') {
                line.append((char) next);
                continue;
            }
            String text = line.toString().strip();
            if (text.isEmpty()) {
                return fields;
            }
            int colon = text.indexOf(':');
            fields.put(
                    text.substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT),
                    text.substring(colon + 1).strip());
            line.setLength(0);
        }
        return Map.of();
    }

    private void respond(OutputStream out, String attemptId) throws IOException {
        String framing = sendsLength ? "Content-Length: " + responseBytes : "Connection: close";
        String head = "HTTP/1.1 200 OK\r\nX-Dewplank-Request-Attempt-Id: " + attemptId + "\r\nX-Dewplank-Server-Seal: "
                + instanceId + "." + attemptId + "\r\n" + framing + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.US_ASCII));
        byte[] piece = new byte[PIECE_BYTES];
        for (int left = responseBytes; left > 0; left -= PIECE_BYTES) {
            out.write(piece, 0, Math.min(left, PIECE_BYTES));
        }
        out.flush();
    }

    boolean isListening() {
        return !listener.isClosed();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
