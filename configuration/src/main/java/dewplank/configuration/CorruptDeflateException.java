package dewplank.configuration;

import java.io.IOException;

/** Deflated bytes are truncated, damaged, or inflate to more than the caller's bound. */
public final class CorruptDeflateException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Says what is wrong with the bytes. */
    public CorruptDeflateException(String message) {
        super(message);
    }

    /** Says what is wrong with the bytes, with the inflater's own error as the cause. */
    public CorruptDeflateException(String message, Throwable cause) {
        super(message, cause);
    }
}
