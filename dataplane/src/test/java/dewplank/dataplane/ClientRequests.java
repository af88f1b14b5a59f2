package dewplank.dataplane;

import java.util.concurrent.atomic.AtomicLong;

/** Requests as the tests' clients send them. */
final class ClientRequests {
    static final String HOST = "h.example";
    /** The remaining time that each request states: more than {@link TestRoute#DEFAULT_TIMEOUT_MS}. */
    static final int REMAINING_TIME_MS = 9_000;
    /** Two shared segments and one of the request's own: its prefill is not overdue before seconds have passed. */
    static final String PROMPT = prompt("aa:30000,bb:20000,c0:30000");
    /** The same, but prefilled within milliseconds. */
    static final String SHORT_PROMPT = prompt("aa:30,bb:20,c0:10");
    /** Prefilled in a second: overdue after two and a half, and a stalled decode of it after three. */
    static final String MEDIUM_PROMPT = prompt("aa:20000,c0:20000");

    private static final AtomicLong IDS = new AtomicLong();

    private ClientRequests() {}

    /** The fields that name a prompt of these segments. */
    static String prompt(String segments) {
        return "X-Dewplank-Token-Counts: 60,8\r\nX-Dewplank-Prompt-Prefix: " + segments + "\r\n";
    }

    /** A request with an attempt id that no other has. */
    static String request(String target, String fields, String body) {
        return request(target, fields, Integer.toString(REMAINING_TIME_MS), body);
    }

    /** The same, with this value of the field for the remaining time. */
    static String request(String target, String fields, String remainingTimeMs, String body) {
        return "POST " + target + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Dewplank-Request-Attempt-Id: r"
                + IDS.incrementAndGet() + "\r\nX-Dewplank-Remaining-Time-Ms: " + remainingTimeMs + "\r\n" + fields
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** The head of a request whose body of two bytes has not been sent. */
    static String headOfTwoByteBody(String target, int remainingTimeMs) {
        return "POST " + target + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Dewplank-Remaining-Time-Ms: " + remainingTimeMs
                + "\r\nContent-Length: 2\r\n\r\n";
    }
}
