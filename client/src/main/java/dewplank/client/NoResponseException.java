package dewplank.client;

import dewplank.settings.ResultCode;
import java.io.IOException;
import java.util.Map;
import java.util.stream.Collectors;

/** No control plane gave a conclusive response. A change may still have been applied. */
public final class NoResponseException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception that reports the last error of each address. */
    NoResponseException(Map<String, String> lastErrors) {
        this(lastErrors.entrySet().stream()
                .map(e -> e.getKey() + ": " + e.getValue())
                .collect(Collectors.joining("; ")));
    }

    private NoResponseException(String detail) {
        super(ResultCode.NO_ANSWER.line(detail));
    }

    /** Returns the same exception for a change, with instructions for the retry. */
    NoResponseException forChange(long expectedVersion) {
        NoResponseException forChange = new NoResponseException(
                getMessage().substring(ResultCode.NO_ANSWER.line("").length())
                        + "; the change may have been applied: retry it unchanged with --on " + expectedVersion);
        forChange.initCause(this);
        return forChange;
    }
}
