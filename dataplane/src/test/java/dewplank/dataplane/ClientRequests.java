package dewplank.dataplane;

import java.util.concurrent.atomic.AtomicLong;

/** The requests that the clients of the tests send. */
final class ClientRequests {
    static final String HOST = "h.example";
    /** The remaining time that each request states; longer than {@link TestRoute#DEFAULT_TIMEOUT_MS}. */
    static final int REMAINING_TIME_MS = 9_000;
    /** Two shared segments and one that is not shared. Its prefill takes several seconds to become overdue. */
    static final String PROMPT = prompt("aa:30000,bb:20000,c0:30000");
    /** The same segments, but prefilled within milliseconds. */
    static final String SHORT_PROMPT = prompt("aa:30,bb:20,c0:10");
    /** Prefilled in 1 s. Its prefill is overdue after 2.5 s, and its decode counts as stalled after 3 s. */
    static final String MEDIUM_PROMPT = prompt("aa:20000,c0:20000");

    private static final AtomicLong IDS = new AtomicLong();

    private ClientRequests() {}

    /** The header fields of a prompt with these segments. */
    static String prompt(String segments) {
        return "X-Dewplank-Token-Counts: 60,8\r\nX-Dewplank-Prompt-Prefix: " + segments + "\r\n";
    }

    /** A request with a unique attempt id. */
    static String request(String target, String fields, String body) {
        return request(target, fields, Integer.toString(REMAINING_TIME_MS), body);
    }

    /** A request with a unique attempt id and this value of the field for the remaining time. */
    static String request(String target, String fields, String remainingTimeMs, String body) {
        return "POST " + target + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Dewplank-Request-Attempt-Id: r"
                + IDS.incrementAndGet() + "\r\nX-Dewplank-Remaining-Time-Ms: " + remainingTimeMs + "\r\n" + fields
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** The head of a request with a body of two bytes, without that body. */
    static String headOfTwoByteBody(String target, int remainingTimeMs) {
        return "POST " + target + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Dewplank-Remaining-Time-Ms: " + remainingTimeMs
                + "\r\nContent-Length: 2\r\n\r\n";
    }
}
