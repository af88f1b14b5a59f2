package dewplank.client;

import dewplank.settings.ResultCode;
import java.io.IOException;
import java.util.Map;
import java.util.stream.Collectors;

/** No control plane gave a conclusive response. A change may have been accepted all the same. */
public final class NoResponseException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Reports the last error of each address. */
    NoResponseException(Map<String, String> lastErrors) {
        this(lastErrors.entrySet().stream()
                .map(e -> e.getKey() + ": " + e.getValue())
                .collect(Collectors.joining("; ")));
    }

    private NoResponseException(String detail) {
        super(ResultCode.NO_ANSWER.line(detail));
    }

    /** Returns the same for a change, with the way to retry it. */
    NoResponseException forChange(long expectedVersion) {
        NoResponseException named = new NoResponseException(
                getMessage().substring(ResultCode.NO_ANSWER.line("").length())
                        + "; the change may have been taken: send it again unchanged with --on " + expectedVersion);
        named.initCause(this);
        return named;
    }
}
