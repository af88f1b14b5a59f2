package dewplank;

import dewplank.client.ControlCall;
import dewplank.client.ControlClient;
import dewplank.client.ControlResponse;
import dewplank.client.FleetText;
import dewplank.client.NoResponseException;
import java.io.IOException;
import java.util.Map;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Commands that show the state of the fleet. */
final class FleetViewCommands {
    private FleetViewCommands() {}

    /** Lists the members. */
    public static final class Members extends FleetCommand {
        @Override
        public void run() throws IOException, InterruptedException {
            ControlResponse response =
                    client().call(ControlCall.get("/members")).requireSuccess();
            print(response.text(), FleetText.members(response));
        }
    }

    /** Shows which control plane holds the lease of each singleton role. */
    public static final class Duties extends FleetCommand {
        @Override
        public void run() throws IOException, InterruptedException {
            ControlClient client = client();
            Map<String, ControlResponse> responses = client.callEach(ControlCall.get("/duties"));
            print(FleetText.json(client.addresses(), responses), FleetText.duties(client.addresses(), responses));
        }
    }

    /** Lists the endpoints, or one of them. */
    public static final class Servers extends FleetCommand {
        @Argument(metaVar = "INSTANCE", usage = "only that one")
        private String instance;

        @Option(name = "--service", metaVar = "NAME", forbids = "--json", usage = "only those of that service")
        private String service;

        @Override
        public void run() throws IOException, InterruptedException {
            if (instance != null) {
                ControlResponse response =
                        client().call(ControlCall.server(instance)).requireSuccess();
                print(response.text(), FleetText.server(response));
                return;
            }
            ControlResponse response =
                    client().call(ControlCall.get("/servers")).requireSuccess();
            print(response.text(), FleetText.servers(response, service));
        }
    }

    /** Shows quorum, version and acceptors reported by each control plane, and the version of each data plane. */
    public static final class Status extends FleetCommand {
        @Override
        public void run() throws IOException, InterruptedException {
            ControlClient client = client();
            Map<String, ControlResponse> responses = client.callEach(ControlCall.get("/status"));
            Map<String, ControlResponse> dataPlanes = dataPlanes(client);
            print(
                    FleetText.statusJson(client.addresses(), responses, dataPlanes),
                    FleetText.status(client.addresses(), responses) + "\n" + FleetText.dataPlanes(dataPlanes));
        }

        /**
         * Returns the reports on data planes. If no control plane responds any more there are none, so that the status
         * received before is still shown.
         */
        private static Map<String, ControlResponse> dataPlanes(ControlClient client) throws InterruptedException {
            try {
                return client.callEach(ControlCall.get("/data-planes"));
            } catch (NoResponseException e) {
                return Map.of();
            }
        }
    }
}
