package dewplank.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

class RouteTableTest {
    private static RouteTable table(String... prefixes) throws InvalidConfigurationException {
        StringBuilder routes = new StringBuilder();
        for (String prefix : prefixes) {
            routes.append(routes.length() == 0 ? "" : ",").append(Samples.route("r" + prefix, prefix, "huvo"));
        }
        return new RouteTable(Samples.parse(Samples.document(1, routes.toString(), Samples.MODEL_SERVICE)));
    }

    private static String findPrefix(RouteTable table, String host, String target) {
        Route route = table.find(host, target);
        return route == null ? null : route.pathPrefix();
    }

    @Test
    void findsTheLongestPrefix() throws InvalidConfigurationException {
        RouteTable table = table("/a/", "/a/b/c/", "/x//y/");
        assertEquals("/a/", findPrefix(table, "ficu.example", "/a/"));
        assertEquals("/a/", findPrefix(table, "ficu.example", "/a/b/"));
        assertEquals("/a/", findPrefix(table, "ficu.example", "/a/b/c"));
        assertEquals("/a/b/c/", findPrefix(table, "ficu.example", "/a/b/c/d/e?f=/g/"));
        assertEquals("/x//y/", findPrefix(table, "ficu.example", "/x//y/z"));
        assertNull(findPrefix(table, "ficu.example", "/a"));
        assertNull(findPrefix(table, "ficu.example", "/a?/"));
        assertNull(findPrefix(table, "ficu.example", "/"));
        assertNull(findPrefix(table, "ficu.example", "/A/"));
        assertNull(findPrefix(table, "ficu.example", "*"));
        assertNull(findPrefix(table, "ficu.example", ""));
        assertNull(findPrefix(table, "ficu.example", null));
    }

    @Test
    void findsTheRootPrefix() throws InvalidConfigurationException {
        RouteTable table = table("/", "/a/b/");
        assertEquals("/", findPrefix(table, "ficu.example", "/"));
        assertEquals("/", findPrefix(table, "ficu.example", "/a/c"));
        assertEquals("/a/b/", findPrefix(table, "ficu.example", "/a/b/"));
    }

    @Test
    void ignoresTheCaseAndPortOfHosts() throws InvalidConfigurationException {
        RouteTable table = table("/");
        assertEquals("/", findPrefix(table, "FICU.Example", "/"));
        assertEquals("/", findPrefix(table, "ficu.example:8144", "/"));
        assertEquals("/", findPrefix(table, " ficu.example ", "/"));
        assertNull(findPrefix(table, "ficu.example.org", "/"));
        assertNull(findPrefix(table, "[::1]:80", "/"));
        assertNull(findPrefix(table, null, "/"));
    }
}
