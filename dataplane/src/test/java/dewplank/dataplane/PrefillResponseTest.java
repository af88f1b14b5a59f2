package dewplank.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Parsing of prefill servers' responses. */
class PrefillResponseTest {
    private static Optional<PrefillResponse> parse(String body) {
        return PrefillResponse.parse(body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void theHandleAndTheTokenCountAreParsed() {
        assertEquals(
                Optional.of(new PrefillResponse("h-1", 40)),
                parse("{\"context_handle\":\"h-1\",\"token_count\":40,\"more\":[]}"));
    }

    /** Only the handle is required; the number of tokens is only informative. */
    @ParameterizedTest
    @ValueSource(strings = {"{\"context_handle\":\"h-1\"}", "{\"context_handle\":\"h-1\",\"token_count\":null}"})
    void aMissingTokenCountIsParsedAsZero(String body) {
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
    void aResponseWithoutAUsableHandleIsNotParsed(String body) {
        assertEquals(Optional.empty(), parse(body));
    }
}
