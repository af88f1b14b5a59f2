package dewplank.http;

/** Parses HTTP requests. */
public final class RequestParser extends MessageParser {
    private String method = "";
    private String target = "";
    private boolean isHttp10;
    private boolean expectationChecked;

    public RequestParser() {
        this(MAX_BODY_BYTES);
    }

    /** Creates a parser that accepts bodies of up to {@code maxBody} bytes. */
    public RequestParser(int maxBody) {
        super(maxBody);
    }

    @Override
    String startLinePrefix() {
        return ""; // any method
    }

    @Override
    void parseStartLine(String text) throws BadMessageException {
        String[] parts = text.split(" ", -1);
        if (parts.length != 3 || !Tokens.isToken(parts[0]) || !isTarget(parts[1])) {
            throw new BadMessageException(400, "the request line is malformed");
        }
        if (!parts[2].equals("HTTP/1.1") && !parts[2].equals("HTTP/1.0")) {
            throw new BadMessageException(parts[2].startsWith("HTTP/") ? 505 : 400, "not HTTP/1.1");
        }
        method = parts[0];
        target = parts[1];
        isHttp10 = parts[2].equals("HTTP/1.0");
    }

    /** Accepts only the path form. It is forwarded unchanged, so line ends and whitespace are not allowed in it. */
    private static boolean isTarget(String text) {
        return text.startsWith("/") && text.chars().allMatch(c -> c > ' ' && c < 127);
    }

    public String method() {
        return method;
    }

    /** The path and query. */
    public String target() {
        return target;
    }

    /** Whether the connection stays open for another request after this one. */
    public boolean keepAlive() {
        return isHttp10
                ? headers().containsToken("Connection", "keep-alive")
                : !headers().containsToken("Connection", "close");
    }

    /** Whether the peer expects a 100 (Continue) before the body. Returns true at most once per request. */
    public boolean waitsForContinue() {
        if (expectationChecked || !isHeadRead() || !hasBegun()) {
            return false;
        }
        expectationChecked = true;
        return headers().containsToken("Expect", "100-continue");
    }

    @Override
    public void reset() {
        super.reset();
        expectationChecked = false;
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
