package dewplank.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests the lookup of servers by identifier. */
class EmulatedEnvironmentTest {
    private final EmulatedEnvironment environment = new EmulatedEnvironmentBuilder(new VirtualTime(), event -> {})
            .servers("count = 3")
            .build();

    @Test
    void aServerIsFoundByItsIdentifier() {
        for (Server server : environment.servers()) {
            assertEquals(Optional.of(server), environment.server(server.id()));
        }
    }

    @Test
    void noServerIsFoundForAnUnknownIdentifier() {
        assertEquals(Optional.empty(), environment.server("s-none"));
    }
}
