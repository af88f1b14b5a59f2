package dewplank.exchange;

/** Responses that a peer must not take for a response, each with one fault and otherwise a 200 with a body. */
public enum MalformedResponse {
    STATUS_000(statusLine("000 Zero")),
    STATUS_099(statusLine("099 Low")),
    STATUS_OF_TWO_DIGITS(statusLine("20 Short")),
    STATUS_OF_FOUR_DIGITS(statusLine("2000 Long")),
    SIGNED_STATUS(statusLine("+20 Signed")),
    NEGATIVE_STATUS(statusLine("-20 Signed")),
    STATUS_WITHOUT_DIGITS(statusLine("OK")),
    STATUS_WITHOUT_BLANK(statusLine("200OK")),
    REASON_WITH_CONTROL_BYTE(statusLine("200 O\u0001K")),
    REASON_WITH_NUL(statusLine("200 O\u0000K")),
    REASON_WITH_CARRIAGE_RETURN(statusLine("200 O\rK")),
    OTHER_VERSION(Fault.of("HTTP/2.0 200 OK", "")),
    NO_VERSION(Fault.of("200 OK", "")),
    NAME_WITH_BLANK(fieldLine("X Bad: 1")),
    NAME_WITH_TAB(fieldLine("X\tBad: 1")),
    NAME_WITH_NUL(fieldLine("X\u0000Bad: 1")),
    NAME_WITH_CONTROL_BYTE(fieldLine("X\u0001Bad: 1")),
    NAME_WITH_DELETE(fieldLine("X\u007fBad: 1")),
    NAME_WITH_CARRIAGE_RETURN(fieldLine("X\rBad: 1")),
    NAME_NOT_ASCII(fieldLine("X\u0080Bad: 1")),
    NAME_WITH_PARENTHESIS(fieldLine("X(Bad: 1")),
    NAME_BEFORE_BLANK(fieldLine("X-Bad : 1")),
    NAME_AFTER_BLANK(fieldLine(" X-Bad: 1")),
    NO_NAME(fieldLine(": 1")),
    NO_COLON(fieldLine("X-Bad")),
    VALUE_WITH_NUL(fieldLine("X-Bad: a\u0000b")),
    VALUE_WITH_CONTROL_BYTE(fieldLine("X-Bad: a\u0001b")),
    VALUE_WITH_CARRIAGE_RETURN(fieldLine("X-Bad: a\rb")),
    EMPTY_LENGTH(framing("Content-Length:", Fault.BODY)),
    SIGNED_LENGTH(framing("Content-Length: +5", Fault.BODY)),
    NEGATIVE_LENGTH(framing("Content-Length: -5", Fault.BODY)),
    LENGTH_OF_OTHER_DIGITS(framing("Content-Length: 0x5", Fault.BODY)),
    LIST_OF_LENGTHS(framing("Content-Length: 5, 5", Fault.BODY)),
    REPEATED_LENGTH(framing("Content-Length: 5\r\nContent-Length: 5", Fault.BODY)),
    DIFFERENT_LENGTHS(framing("Content-Length: 3\r\nContent-Length: 5", Fault.BODY)),
    LENGTH_BESIDE_CHUNKS(framing("Content-Length: 5\r\nTransfer-Encoding: chunked", "5\r\nwhole\r\n0\r\n\r\n")),
    UNKNOWN_CODING(framing("Transfer-Encoding: gzip", Fault.BODY)),
    SIGNED_CHUNK(chunks("+5\r\nwhole\r\n0\r\n\r\n")),
    NEGATIVE_CHUNK(chunks("-5\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_WITH_PREFIX(chunks("0x5\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_WITHOUT_SIZE(chunks("\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_WITH_HUGE_SIZE(chunks("fffffffff\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_OVER_ITS_SIZE(chunks("4\r\nwhole\r\n0\r\n\r\n"));

    private final Fault fault;

    MalformedResponse(Fault fault) {
        this.fault = fault;
    }

    /** A message up to where further fields may be added, and the rest of it. */
    private record Fault(String start, String rest) {
        private static final String STATUS_LINE = "HTTP/1.1 200 OK";
        private static final String BODY = "whole";
        private static final String FRAMED_BODY = "Content-Length: 5\r\n\r\n" + BODY;

        static Fault of(String startLine, String field) {
            return new Fault(startLine + "\r\n", field + FRAMED_BODY);
        }
    }

    private static Fault statusLine(String afterVersion) {
        return Fault.of("HTTP/1.1 " + afterVersion, "");
    }

    private static Fault fieldLine(String line) {
        return Fault.of(Fault.STATUS_LINE, line + "\r\n");
    }

    private static Fault framing(String fields, String body) {
        return new Fault(Fault.STATUS_LINE + "\r\n", fields + "\r\n\r\n" + body);
    }

    private static Fault chunks(String body) {
        return framing("Transfer-Encoding: chunked", body);
    }

    /** The message with these fields, each with its line end, before the malformed one. */
    public String withFields(String fields) {
        return fault.start() + fields + fault.rest();
    }
}
