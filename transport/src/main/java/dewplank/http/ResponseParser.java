package dewplank.http;

import java.io.IOException;
import java.util.regex.Pattern;

/** Parses HTTP responses; interim responses (1xx) are skipped. */
public final class ResponseParser extends MessageParser {
    /** RFC 9112, section 4: the reason holds no control characters but tabs. */
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.[01] [1-9][0-9]{2}( [\\t\\x20-\\x7e\\x80-\\xff]*)?");

    private int status;
    private boolean isHttp10;
    private boolean isHeadRequest;

    public ResponseParser(int maxBody) {
        super(maxBody);
    }

    /** Expects a response to a HEAD request, which has no body regardless of its fields (RFC 9110, 9.3.2). */
    public void expectHead() {
        isHeadRequest = true;
    }

    @Override
    String startLinePrefix() {
        return "HTTP/1.";
    }

    @Override
    void parseStartLine(String text) throws BadMessageException {
        if (!STATUS_LINE.matcher(text).matches()) {
            throw new BadMessageException(502, "the status line is malformed");
        }
        isHttp10 = text.charAt(7) == '0';
        status = Integer.parseInt(text.substring(9, 12));
    }

    public int status() {
        return status;
    }

    /** Whether the connection stays open for another request after this response. */
    public boolean keepAlive() {
        boolean framed = isWithoutBody()
                || headers().get("Content-Length") != null
                || headers().get("Transfer-Encoding") != null;
        return framed && !isHttp10 && !headers().containsToken("Connection", "close");
    }

    /**
     * Whether the response is complete now that its connection has ended. Without a length and chunks, only the end of
     * the connection completes a response (RFC 9112, section 8). It does so only if the connection has not broken and
     * if the request was sent: a server that ends the connection earlier may have failed during its response.
     *
     * @param cause why the connection broke; null if the peer closed it
     * @param isRequestSent whether the system has accepted the complete request
     */
    public boolean completesAtEnd(IOException cause, boolean isRequestSent) {
        return cause == null && isRequestSent && endOfInput();
    }

    @Override
    boolean isRequest() {
        return false;
    }

    @Override
    boolean isWithoutBody() {
        return isHeadRequest || status == 204 || status == 304;
    }

    @Override
    boolean isInterim() {
        return status < 200;
    }
}
