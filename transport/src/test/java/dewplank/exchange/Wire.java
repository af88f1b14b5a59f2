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

/** A peer's end of a connection, with a plain socket: the test decides what is sent and when. */
public final class Wire implements Closeable {
    /** Only a failing test waits so long. */
    public static final int PATIENCE_S = 5;

    private final Socket socket;
    private final InputStream input;
    private final CountDownLatch ended = new CountDownLatch(1);

    /** A message: its first line, its fields and its complete body. */
    public record Message(String startLine, List<String> fields, String body) {
        /** The field's value, or null. */
        public String header(String name) {
            for (String field : fields) {
                if (field.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
                    return field.substring(name.length() + 1).strip();
                }
            }
            return null;
        }

        /** How many fields have that name. */
        public long count(String name) {
            return fields.stream()
                    .filter(field -> field.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                    .count();
        }

        /** An answer's status. */
        public int status() {
            return Integer.parseInt(startLine.substring(9, 12));
        }

        /** A request's method. */
        public String method() {
            return startLine.substring(0, startLine.indexOf(' '));
        }

        /** A request's path and query. */
        public String target() {
            return startLine.split(" ")[1];
        }
    }

    Wire(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(PATIENCE_S * 1000);
        socket.setTcpNoDelay(true);
        input = new BufferedInputStream(socket.getInputStream());
    }

    /** A connection to that address. */
    public static Wire to(InetSocketAddress address) throws IOException {
        return new Wire(new Socket(address.getAddress(), address.getPort()));
    }

    /** Sends the text as it is, one byte for each character. */
    public void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** An answer with its length. */
    public void answer(String status, String fields, String body) throws IOException {
        send("HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** One chunk of a body. */
    public void chunk(String text) throws IOException {
        send(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    /** The last chunk of a body. */
    public void lastChunk() throws IOException {
        send("0\r\n\r\n");
    }

    /** The next complete message, or null where the other side has ended the connection before its first byte. */
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
                throw new EOFException("the body is cut off");
            }
            body.writeBytes(bytes);
        } else if ("chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) {
            for (String chunk = readChunk(); !chunk.isEmpty(); chunk = readChunk()) {
                body.writeBytes(chunk.getBytes(StandardCharsets.ISO_8859_1));
            }
        }
        return new Message(head.startLine(), head.fields(), body.toString(StandardCharsets.ISO_8859_1));
    }

    /** Start line and fields of the next message; null where the connection has ended. */
    public Message readHead() throws IOException {
        String start = readLine();
        if (start == null) {
            return null;
        }
        List<String> fields = new ArrayList<>();
        for (String line = readLine(); !"".equals(line); line = readLine()) {
            if (line == null) {
                throw new EOFException("the head is cut off");
            }
            fields.add(line);
        }
        return new Message(start, fields, "");
    }

    /** The next chunk; empty where the body is complete. */
    public String readChunk() throws IOException {
        String size = readLine();
        if (size == null) {
            throw new EOFException("the body is cut off");
        }
        int length = Integer.parseInt(size, 16);
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length || !"".equals(readLine())) {
            throw new EOFException("a chunk is cut off");
        }
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                if (line.length() > 0) {
                    throw new EOFException("a line is cut off: " + line);
                }
                return null;
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    /** Whether bytes were received and not read yet. */
    public boolean hasBytes() throws IOException {
        return input.available() > 0;
    }

    /** The next so many bytes, whatever they are. */
    public String readBytes(int count) throws IOException {
        byte[] bytes = input.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("cut off after " + bytes.length + " bytes");
        }
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    /** All bytes until the other side ends or breaks the connection. */
    public String readToEnd() throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        try {
            input.transferTo(all);
        } catch (SocketTimeoutException e) {
            throw e;
        } catch (IOException e) {
            // a reset is an end too
        }
        return all.toString(StandardCharsets.ISO_8859_1);
    }

    /** Records that nothing more arrives; called by the thread that reads the connection in the background. */
    void hasEnded() {
        ended.countDown();
    }

    /** Waits until the other side has ended the connection; only for connections that are read in the background. */
    public void awaitEnd() throws InterruptedException {
        if (!ended.await(PATIENCE_S, TimeUnit.SECONDS)) {
            throw new AssertionError("the connection is still open");
        }
    }

    /** Whether the other side has ended the connection, as far as is known by now. */
    public boolean isEnded() {
        return ended.getCount() == 0;
    }

    /** Ends the output; the input stays open. */
    public void endOutput() throws IOException {
        socket.shutdownOutput();
    }

    /** Breaks the connection. */
    public void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
