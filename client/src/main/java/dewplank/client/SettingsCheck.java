package dewplank.client;

import dewplank.settings.InvalidInputException;
import dewplank.settings.NodeSettings;
import dewplank.settings.ResultCode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Determines which programs a settings file configures and checks that it has the keys that each of them requires. */
public final class SettingsCheck {
    private SettingsCheck() {}

    /**
     * Returns a one-line summary of valid settings.
     *
     * @throws InvalidInputException if a key is missing or no program is configured
     */
    public static String of(NodeSettings settings) {
        List<String> roles = new ArrayList<>();
        if (settings.front() != null || settings.readiness() != null) {
            settings.requireDataPlaneKeys();
            roles.add("data plane (verb data-plane) for clients at " + text(settings.front()) + ", readiness at "
                    + text(settings.readiness()));
        }
        if (settings.control() != null) {
            settings.requireControlPlaneKeys();
            roles.add(
                    settings.dataDirectory() == null
                            ? "relay without a disk (verb control-plane) for operators at " + text(settings.control())
                            : "control plane (verb control-plane) for operators at " + text(settings.control())
                                    + ", disk in " + settings.dataDirectory());
        }
        if (roles.isEmpty()) {
            throw InvalidInputException.of(
                    ResultCode.NO_ROLE,
                    "listen_addresses names neither front and readiness, for data-plane, "
                            + "nor control, for control-plane");
        }
        return "settings of " + settings.nodeName() + " can be used: " + String.join("; ", roles);
    }

    private static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
