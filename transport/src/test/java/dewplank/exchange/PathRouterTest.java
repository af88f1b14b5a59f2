package dewplank.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which handler a path and a method lead to. */
class PathRouterTest {
    private final PathRouter<String> tree = new PathRouter<>();

    PathRouterTest() {
        tree.path("configuration").on("GET", "read").on("PUT", "change");
        tree.path("servers").path("*").on("GET", "one server");
    }

    @Test
    void aHandlerIsFoundByPathAndMethod() {
        assertEquals("read", tree.find("GET", "/configuration?x=1").handler());
        assertEquals("change", tree.find("PUT", "/configuration/").handler());
        PathRouter.Match<String> one = tree.find("GET", "/servers/i-1");
        assertEquals("one server", one.handler());
        assertEquals(List.of("i-1"), one.parameters());
    }

    @Test
    void aWrongMethodIsDistinguishedFromAWrongPath() {
        PathRouter.Match<String> method = tree.find("DELETE", "/configuration");
        assertNull(method.handler());
        assertTrue(method.pathExists());
        assertEquals(List.of("GET", "PUT"), List.copyOf(method.methods()));
        assertFalse(tree.find("GET", "/nothing").pathExists());
        assertFalse(tree.find("GET", "/").pathExists());
    }
}
