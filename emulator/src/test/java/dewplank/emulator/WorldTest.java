package dewplank.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests the lookup of servers by identifier. */
class WorldTest {
    private final World world = new WorldBuilder(new VirtualTime(), event -> {})
            .servers("count = 3")
            .build();

    @Test
    void aServerIsFoundByItsIdentifier() {
        for (Server server : world.servers()) {
            assertEquals(Optional.of(server), world.server(server.id()));
        }
    }

    @Test
    void noServerIsFoundForAnUnknownIdentifier() {
        assertEquals(Optional.empty(), world.server("s-none"));
    }
}
