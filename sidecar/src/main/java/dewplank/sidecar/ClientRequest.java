package dewplank.sidecar;

import dewplank.http.Headers;
import dewplank.net.TimerWheel;
import java.util.ArrayList;
import java.util.List;

/** One request of a client, from its last byte to its final answer and the end of its last attempt. */
final class ClientRequest {
    /** The client's side, which sends the final answer in its own protocol. Called once. */
    interface Answerer {
        /** {@code headers}: those of the server's answer that are meant for the client. */
        void served(byte[] body, List<Headers.Field> headers);

        void refused(double retryInMs);

        void failed();
    }

    /** What is passed on to a server, unchanged on every attempt; {@code id} is the client's, among the headers. */
    record Content(String id, String method, String target, List<Headers.Field> headers, byte[] body) {}

    final long id;
    final Content content;
    final double deadline;
    final Answerer answerer;
    final List<Attempt> attempts = new ArrayList<>();
    int out;
    boolean over;
    TimerWheel.Timer lastResort;

    ClientRequest(long id, Content content, double deadline, Answerer answerer) {
        this.id = id;
        this.content = content;
        this.deadline = deadline;
        this.answerer = answerer;
    }
}
