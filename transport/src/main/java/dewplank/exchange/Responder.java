package dewplank.exchange;

import dewplank.http.Headers;
import java.util.List;

/** A caller that waits for the answer to one request. */
public interface Responder {
    /** Answers the request that was handed over; nothing where the caller has left. */
    void answer(int status, List<Headers.Field> headers, byte[] body);
}
