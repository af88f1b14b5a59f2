package dewplank.http;

/** Header fields of a call that comes over no socket. */
public final class CallHeaders {
    private CallHeaders() {}

    /** One field, or none where its value is null. */
    public static Headers of(String name, String value) {
        Headers headers = new Headers();
        if (value != null) {
            headers.add(name, value);
        }
        return headers;
    }
}
