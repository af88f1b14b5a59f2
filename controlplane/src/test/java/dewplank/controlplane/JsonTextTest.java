package dewplank.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.settings.Json;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests that the JSON can be parsed again, regardless of the characters that its fields contain. */
class JsonTextTest {
    @Property(tries = 300)
    void anyTextRoundTrips(@ForAll String name, @ForAll String text) {
        String object = JsonText.object(JsonText.field(name, text), JsonText.rawField(name + "2", 7));
        assertEquals(text, Json.object(object).get(name));
        assertEquals(7L, Json.object(object).get(name + "2"));
    }

    @Property(tries = 100)
    void anyListRoundTrips(@ForAll List<String> texts) {
        String array = JsonText.array(texts.stream().map(JsonText::quoted).toList());
        assertEquals(texts, Json.array(array));
    }

    @Test
    void writesNulls() {
        assertEquals("{\"a\":null}", JsonText.object(JsonText.field("a", null)));
        assertEquals(Arrays.asList((Object) null), Json.array(JsonText.array(List.of("null"))));
    }
}
