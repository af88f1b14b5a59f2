package dewplank.exchange;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A peer's end of a connection, on a plain socket: the test determines what is sent and when. */
public final class TestPeer implements Closeable {
    /** Time limit of a failing test. */
    public static final int TIMEOUT_S = 5;

    private final Socket socket;
    private final InputStream input;
    private final CountDownLatch ended = new CountDownLatch(1);

    /** A message: its start line, fields and complete body. */
    public record Message(String startLine, List<String> fields, String body) {
        /** Returns the value of a field, or null. */
        public String header(String name) {
            for (String field : fields) {
                if (field.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
                    return field.substring(name.length() + 1).strip();
                }
            }
            return null;
        }

        /** Number of fields with this name. */
        public long count(String name) {
            return fields.stream()
                    .filter(field -> field.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                    .count();
        }

        /** The status of a response. */
        public int status() {
            return Integer.parseInt(startLine.substring(9, 12));
        }

        /** The method of a request. */
        public String method() {
            return startLine.substring(0, startLine.indexOf(' '));
        }

        /** The path and query of a request. */
        public String target() {
            return startLine.split(" ")[1];
        }
    }

    TestPeer(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(TIMEOUT_S * 1000);
        socket.setTcpNoDelay(true);
        input = new BufferedInputStream(socket.getInputStream());
    }

    /** Opens a connection to the address. */
    public static TestPeer to(InetSocketAddress address) throws IOException {
        return new TestPeer(new Socket(address.getAddress(), address.getPort()));
    }

    /** Sends the text unchanged, one byte per character. */
    public void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Sends a response with a Content-Length. */
    public void respond(String status, String fields, String body) throws IOException {
        send("HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Sends a chunk of a body. */
    public void chunk(String text) throws IOException {
        send(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    /** Sends the last chunk of a body. */
    public void lastChunk() throws IOException {
        send("0\r\n\r\n");
    }

    /** Reads the next complete message; returns null if the other side closed the connection before its first byte. */
    public Message read() throws IOException {
        Message head = readHead();
        if (head == null) {
            return null;
        }
        String length = head.header("Content-Length");
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (length != null) {
            byte[] bytes = input.readNBytes(Integer.parseInt(length));
            if (bytes.length < Integer.parseInt(length)) {
                throw new EOFException("the body is truncated");
            }
            body.writeBytes(bytes);
        } else if ("chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) {
            for (String chunk = readChunk(); !chunk.isEmpty(); chunk = readChunk()) {
                body.writeBytes(chunk.getBytes(StandardCharsets.ISO_8859_1));
            }
        }
        return new Message(head.startLine(), head.fields(), body.toString(StandardCharsets.ISO_8859_1));
    }

    /** Reads the start line and fields of the next message; returns null if the connection is closed. */
    public Message readHead() throws IOException {
        String start = readLine();
        if (start == null) {
            return null;
        }
        List<String> fields = new ArrayList<>();
        for (String line = readLine(); !"".equals(line); line = readLine()) {
            if (line == null) {
                throw new EOFException("the head is truncated");
            }
            fields.add(line);
        }
        return new Message(start, fields, "");
    }

    /** Reads the next chunk; empty if the body is complete. */
    public String readChunk() throws IOException {
        String size = readLine();
        if (size == null) {
            throw new EOFException("the body is truncated");
        }
        int length = Integer.parseInt(size, 16);
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length || !"".equals(readLine())) {
            throw new EOFException("a chunk is truncated");
        }
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                if (line.length() > 0) {
                    throw new EOFException("a line is truncated: " + line);
                }
                return null;
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    /** Whether received bytes have not been read yet. */
    public boolean hasBytes() throws IOException {
        return input.available() > 0;
    }

    /** Reads the next {@code count} bytes. */
    public String readBytes(int count) throws IOException {
        byte[] bytes = input.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("truncated after " + bytes.length + " bytes");
        }
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    /** Reads all bytes until the other side closes or resets the connection. */
    public String readToEnd() throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        try {
            input.transferTo(all);
        } catch (SocketTimeoutException e) {
            throw e;
        } catch (IOException e) {
            // a reset counts as a close
        }
        return all.toString(StandardCharsets.ISO_8859_1);
    }

    /** Records that the other side has closed the connection; called by the background thread that reads it. */
    void markClosedByPeer() {
        ended.countDown();
    }

    /** Waits until the other side has closed the connection; only for connections read in the background. */
    public void awaitClose() throws InterruptedException {
        if (!ended.await(TIMEOUT_S, TimeUnit.SECONDS)) {
            throw new AssertionError("the connection is still open");
        }
    }

    /** Whether the background thread has detected that the other side closed the connection. */
    public boolean isClosedByPeer() {
        return ended.getCount() == 0;
    }

    /** Closes the output; the input stays open. */
    public void closeOutput() throws IOException {
        socket.shutdownOutput();
    }

    /** Resets the connection. */
    public void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
