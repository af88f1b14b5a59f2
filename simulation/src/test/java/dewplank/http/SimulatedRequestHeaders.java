package dewplank.http;

/** Creates the header fields of simulated requests, which arrive over no socket. */
public final class SimulatedRequestHeaders {
    private SimulatedRequestHeaders() {}

    /** Returns one header field, or none if {@code value} is null. */
    public static Headers of(String name, String value) {
        Headers headers = new Headers();
        if (value != null) {
            headers.add(name, value);
        }
        return headers;
    }
}
