package dewplank.configuration;

import java.io.IOException;

/** Deflated bytes are truncated, damaged, or inflate to more than the caller's limit. */
public final class CorruptDeflateException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message states what is wrong with the bytes. */
    public CorruptDeflateException(String message) {
        super(message);
    }

    /** Creates an exception whose message states what is wrong with the bytes, caused by the inflater's exception. */
    public CorruptDeflateException(String message, Throwable cause) {
        super(message, cause);
    }
}
