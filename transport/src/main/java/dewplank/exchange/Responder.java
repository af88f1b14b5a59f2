package dewplank.exchange;

import dewplank.http.Headers;
import java.util.List;

/** Takes the answer to one request. On the loop's thread only. */
public interface Responder {
    /** Answers the request; does nothing if the caller closed. */
    void answer(int status, List<Headers.Field> headers, byte[] body);
}
