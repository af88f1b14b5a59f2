package dewplank.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What of a prefill server's answer can be used. */
class PrefillResponseTest {
    private static Optional<PrefillResponse> parse(String body) {
        return PrefillResponse.parse(body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void namesTheHandleAndTheTokens() {
        assertEquals(
                Optional.of(new PrefillResponse("h-1", 40)),
                parse("{\"context_handle\":\"h-1\",\"token_count\":40,\"more\":[]}"));
    }

    /** The handle is what counts: the number of tokens is for the counters. */
    @ParameterizedTest
    @ValueSource(strings = {"{\"context_handle\":\"h-1\"}", "{\"context_handle\":\"h-1\",\"token_count\":null}"})
    void aMissingNumberOfTokensCountsAsNone(String body) {
        assertEquals(Optional.of(new PrefillResponse("h-1", 0)), parse(body));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "[]",
                "null",
                "{\"token_count\":40}",
                "{\"context_handle\":7,\"token_count\":40}",
                "{\"context_handle\":\"\",\"token_count\":40}",
                "{\"context_handle\":\"a/b\",\"token_count\":40}",
                "{\"context_handle\":\"a b\",\"token_count\":40}",
            })
    void anAnswerWithoutAUsableHandleIsNone(String body) {
        assertEquals(Optional.empty(), parse(body));
    }
}
