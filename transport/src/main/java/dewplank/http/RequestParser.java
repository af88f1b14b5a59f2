package dewplank.http;

/** Reads requests. */
public final class RequestParser extends MessageParser {
    private String method = "";
    private String target = "";
    private boolean oldVersion;
    private boolean continued;

    public RequestParser() {
        this(MAX_BODY_BYTES);
    }

    /** Takes bodies of up to so many bytes. */
    public RequestParser(int maxBody) {
        super(maxBody);
    }

    @Override
    String startLinePrefix() {
        return ""; // any method
    }

    @Override
    void startLine(String text) throws BadMessageException {
        String[] parts = text.split(" ", -1);
        if (parts.length != 3 || !isToken(parts[0]) || !isTarget(parts[1])) {
            throw new BadMessageException(400, "the request line is malformed");
        }
        if (!parts[2].equals("HTTP/1.1") && !parts[2].equals("HTTP/1.0")) {
            throw new BadMessageException(parts[2].startsWith("HTTP/") ? 505 : 400, "not HTTP/1.1");
        }
        method = parts[0];
        target = parts[1];
        oldVersion = parts[2].equals("HTTP/1.0");
    }

    /** Only the path form is taken: it is passed on as it came, and must not hold a line end or a blank. */
    private static boolean isTarget(String text) {
        return text.startsWith("/") && text.chars().allMatch(c -> c > ' ' && c < 127);
    }

    public String method() {
        return method;
    }

    /** Path and query. */
    public String target() {
        return target;
    }

    /** Whether the connection may carry another request after this one. */
    public boolean keepAlive() {
        return oldVersion
                ? headers().lists("Connection", "keep-alive")
                : !headers().lists("Connection", "close");
    }

    /** Whether the peer waits with its body for a 100 (Continue). True once a request. */
    public boolean waitsForContinue() {
        boolean waits = isHeadRead() && hasBegun() && !continued && headers().lists("Expect", "100-continue");
        continued |= waits;
        return waits;
    }

    @Override
    public void reset() {
        super.reset();
        continued = false;
    }

    @Override
    boolean isRequest() {
        return true;
    }

    @Override
    boolean isWithoutBody() {
        return false;
    }

    @Override
    boolean isInterim() {
        return false;
    }
}
