package dewplank.exchange;

import dewplank.http.Headers;
import java.util.List;

/** Sends the response to a request. Used on the loop's thread only. */
public interface Responder {
    /** Sends the response; no effect if the client has closed the connection. */
    void respond(int status, List<Headers.Field> headers, byte[] body);
}
