package dewplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class PromptPrefixTest {
    @Test
    void theLastSharedSegmentIsTheAffinityKey() {
        PromptPrefix prefix = PromptPrefix.parse("5c1e07a2:800,91bd3f06:410, e4402b7d:250");
        assertEquals(1_460, prefix.tokens());
        assertEquals(1_210, prefix.sharedTokens());
        assertEquals(Optional.of("91bd3f06"), prefix.affinityKey());
    }

    @Test
    void invalidSegmentsHaveNoTokensAndMissingHeadersNoKey() {
        assertEquals(Optional.empty(), PromptPrefix.parse(null).affinityKey());
        assertEquals(Optional.empty(), PromptPrefix.parse("").affinityKey());
        assertEquals(0, PromptPrefix.parse("a:-5,b:x").tokens());
        assertEquals(7, PromptPrefix.parse("a:7,,b:8").tokens());
    }

    @Test
    void theNumberOfSegmentsIsLimited() {
        assertEquals(64, PromptPrefix.parse("a:1,".repeat(1_000)).segments().size());
    }
}
