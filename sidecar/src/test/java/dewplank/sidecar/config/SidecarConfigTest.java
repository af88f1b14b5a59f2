package dewplank.sidecar.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import dewplank.settings.Fields;
import dewplank.settings.InvalidInputException;
import dewplank.settings.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The configuration of a sidecar: error messages that name invalid keys, the environment, and strict JSON. */
class SidecarConfigTest {

    private static String errorMessage(String json) {
        return assertThrows(
                        InvalidInputException.class,
                        () -> SidecarConfig.of(new Fields(Json.object(json), "configuration key ")))
                .getMessage();
    }

    static Stream<Arguments> invalidConfigurations() {
        String start = "{\"name\":\"n\",\"listen\":\"127.0.0.1:5000\",\"discovery\":\"127.0.0.1:8500\",\"seed\":";
        return Stream.of(
                arguments("{}", "configuration key name is missing"),
                arguments(
                        "{\"name\":\"n\",\"listen\":\"here\"}",
                        "configuration key listen should be an address and a port, such as 10.0.0.4:5000"),
                arguments("{\"limits\":{\"sockets\":3}}", "configuration key limits.sockets should be at least 256"),
                arguments(start + "\"x\"}", "configuration key seed should be a hexadecimal number of at most 64 bits"),
                arguments(
                        start + "\"8c1f30d27a5be964\",\"known\":{},\"settings\":{}}",
                        "configuration key settings.Me is missing"));
    }

    @ParameterizedTest(name = "{1}")
    @MethodSource("invalidConfigurations")
    void theErrorNamesAnInvalidKey(String json, String message) {
        assertEquals(message, errorMessage(json));
    }

    @Test
    void theErrorNamesASettingOutOfRange() {
        Fields outOfRange = new Fields(Json.object("{\"Me\":0,\"ReplicasOfMe\":0}"), "setting ");
        assertEquals(
                "setting ReplicasOfMe should be a number above 0",
                assertThrows(InvalidInputException.class, () -> BalancerSettingsReader.read(outOfRange))
                        .getMessage());
        Fields unknownChoice = new Fields(Json.object("{\"a\":\"x\"}"), "setting ");
        assertEquals(
                "setting a should be one of left, right",
                assertThrows(
                                InvalidInputException.class,
                                () -> unknownChoice.choice("a", Map.of("right", 1, "left", 2)))
                        .getMessage());
    }

    @Test
    void theErrorNamesAMissingEnvironmentVariable() {
        assertEquals(
                "environment variable GW_CONFIG is missing",
                assertThrows(InvalidInputException.class, () -> SidecarConfig.fromEnvironment(Map.of()))
                        .getMessage());
    }

    /**
     * The environment keeps its values from the start: if it took precedence on reload, it would restore the old
     * address.
     */
    @Test
    void onReloadTheDiscoveryAddressInTheFileApplies() throws IOException {
        Path file = Files.createTempFile("config", ".json");
        Files.writeString(
                file,
                """
            {"name":"n","listen":"127.0.0.1:5000","discovery":"127.0.0.1:2","seed":"1","known":{},"settings":
            {"Accounts":[],"Az":"a","CountedBy":"request","Classes":[],"Me":0,"RegistryMode":"on_request",
             "ReplicasOfMe":1,"Tick":5,"Weights":"none","Limits":{"SendCap":4,"SecondCopies":false,
             "Cancelling":true,"MayProbe":false,"Peers":false},
             "Safety":{"Cold":1,"ColdShare":1,"FallMultiple":4,"TipAfter":1}}}""");
        Map<String, String> environment =
                Map.of("GW_CONFIG", file.toString(), "GW_DISCOVERY", "127.0.0.1:1", "GW_NAME", "n7");
        assertEquals(1, SidecarConfig.fromEnvironment(environment).discovery().getPort());
        assertEquals(2, SidecarConfig.readForReload(environment).discovery().getPort());
        assertEquals("n7", SidecarConfig.readForReload(environment).name());
        Files.delete(file);
    }

    /** Request ids and seeds exceed the precision of a double. */
    @Test
    void integersAreReadExactly() {
        assertEquals(
                9223372036854775807L, Json.object("{\"a\":9223372036854775807}").get("a"));
        assertEquals(1.5e3, Json.object("{\"a\":1.5e3}").get("a"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"{a:1}", "{\"a\":NaN}", "{\"a\":1}x", "{\"a\":1", "", "[1]"})
    void nonStrictJsonIsRejected(String text) {
        assertThrows(InvalidInputException.class, () -> Json.object(text), text);
    }

    @Test
    void theErrorNamesInvalidPeerAddresses() {
        assertEquals("configuration key peer_listen is missing", withPeers(""));
        assertEquals("configuration key peers is missing", withPeers("\"peer_listen\":\"10.0.0.4:7946\","));
        String listen = "\"peer_listen\":\"10.0.0.4:7946\",\"peers\":[\"10.0.0.5:7946\"";
        String address = " should be an address and a port, such as 10.0.0.4:5000";
        assertEquals("configuration key peers[1]" + address, withPeers(listen + ",\"10.0.0.6\"],"));
        assertEquals(
                "configuration key peers[1] should be an address that differs from the preceding ones",
                withPeers(listen + ",\"10.0.0.5:7946\"],"));
        assertEquals("configuration key peers_all" + address, withPeers(listen + "],\"peers_all\":\"all\","));
    }

    @ParameterizedTest
    @ValueSource(strings = {"8.8.8.8:53", "224.0.0.1:7946", "0.0.0.0:7946", "[::1]:7946", "100.128.0.1:1"})
    void theErrorNamesAPeerOutsideOfPrivateNetworks(String address) {
        assertEquals(
                "configuration key peers[1] should be an IPv4 address of a private network or of loopback",
                withPeers("\"peer_listen\":\"10.0.0.4:7946\",\"peers\":[\"10.0.0.5:7946\",\"" + address + "\"],"));
    }

    private static String withPeers(String keys) {
        return errorMessage(
                "{" + keys
                        + """
            "name":"n","listen":"127.0.0.1:5000","discovery":"127.0.0.1:2","seed":"1","known":{},"settings":
            {"Accounts":[],"Az":"a","CountedBy":"request","Classes":[],"Me":0,"RegistryMode":"on_request",
             "ReplicasOfMe":1,"Tick":5,"Weights":"none","Limits":{"SendCap":4,"SecondCopies":false,
             "Cancelling":true,"MayProbe":false,"Peers":true},
             "Safety":{"Cold":1,"ColdShare":1,"FallMultiple":4,"TipAfter":1}}}""");
    }
}
