package dewplank.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which handler is found for a path and a method. */
class PathRouterTest {
    private final PathRouter<String> router = new PathRouter<>();

    PathRouterTest() {
        router.path("configuration").on("GET", "read").on("PUT", "change");
        router.path("servers").path("*").on("GET", "one server");
    }

    @Test
    void aHandlerIsFoundByPathAndMethod() {
        assertEquals("read", router.find("GET", "/configuration?x=1").handler());
        assertEquals("change", router.find("PUT", "/configuration/").handler());
        PathRouter.Match<String> one = router.find("GET", "/servers/i-1");
        assertEquals("one server", one.handler());
        assertEquals(List.of("i-1"), one.parameters());
    }

    @Test
    void aWrongMethodIsDistinguishedFromAWrongPath() {
        PathRouter.Match<String> method = router.find("DELETE", "/configuration");
        assertNull(method.handler());
        assertTrue(method.pathExists());
        assertEquals(List.of("GET", "PUT"), List.copyOf(method.methods()));
        assertFalse(router.find("GET", "/nothing").pathExists());
        assertFalse(router.find("GET", "/").pathExists());
    }
}
