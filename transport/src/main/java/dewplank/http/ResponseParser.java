package dewplank.http;

import java.util.regex.Pattern;

/** Reads responses; interim ones (1xx) are passed over. */
public final class ResponseParser extends MessageParser {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-9][0-9]{2}( .*)?");

    private int status;
    private boolean oldVersion;
    private boolean toHead;

    public ResponseParser(int maxBody) {
        super(maxBody);
    }

    /** The next answer is to a HEAD request: it has no body, whatever its fields say (RFC 9110, 9.3.2). */
    public void expectHead() {
        toHead = true;
    }

    @Override
    String startLinePrefix() {
        return "HTTP/1.";
    }

    @Override
    void startLine(String text) throws BadMessageException {
        if (!STATUS_LINE.matcher(text).matches()) {
            throw new BadMessageException(502, "the status line is malformed");
        }
        oldVersion = text.charAt(7) == '0';
        status = Integer.parseInt(text.substring(9, 12));
    }

    public int status() {
        return status;
    }

    /** Whether the connection may carry another request after this answer. */
    public boolean keepAlive() {
        boolean framed = isWithoutBody()
                || headers().get("Content-Length") != null
                || headers().get("Transfer-Encoding") != null;
        return framed && !oldVersion && !headers().lists("Connection", "close");
    }

    @Override
    boolean isRequest() {
        return false;
    }

    @Override
    boolean isWithoutBody() {
        return toHead || status == 204 || status == 304;
    }

    @Override
    boolean isInterim() {
        return status < 200;
    }
}
