package dewplank.client;

import dewplank.settings.ResultCode;
import java.io.IOException;
import java.util.Map;
import java.util.stream.Collectors;

/** No control sidecar gave a clear answer. A change may have been taken all the same. */
public final class NoAnswerException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Says what became of the last call to each address. */
    NoAnswerException(Map<String, String> last) {
        this(last.entrySet().stream().map(e -> e.getKey() + ": " + e.getValue()).collect(Collectors.joining("; ")));
    }

    private NoAnswerException(String detail) {
        super(ResultCode.NO_ANSWER.line(detail));
    }

    /** The same for a change: how it is sent again. */
    NoAnswerException ofChange(long on) {
        NoAnswerException named = new NoAnswerException(
                getMessage().substring(ResultCode.NO_ANSWER.line("").length())
                        + "; the change may have been taken: send it again unchanged with --on " + on);
        named.initCause(this);
        return named;
    }
}
