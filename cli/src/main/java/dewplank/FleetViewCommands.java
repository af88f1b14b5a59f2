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

/** The commands that show the state of the fleet. */
final class FleetViewCommands {
    private FleetViewCommands() {}

    /** Lists the members. */
    public static final class Members extends FleetCommand {
        @Override
        public void run() throws IOException, InterruptedException {
            ControlResponse answer = client().call(ControlCall.get("/members")).requireSuccess();
            print(answer.text(), FleetText.members(answer));
        }
    }

    /** Shows which control plane holds the lease of each singleton role. */
    public static final class Duties extends FleetCommand {
        @Override
        public void run() throws IOException, InterruptedException {
            ControlClient client = client();
            Map<String, ControlResponse> answers = client.callEach(ControlCall.get("/duties"));
            print(FleetText.json(client.addresses(), answers), FleetText.duties(client.addresses(), answers));
        }
    }

    /** Lists servers. */
    public static final class Servers extends FleetCommand {
        @Argument(metaVar = "INSTANCE", usage = "only that one")
        private String instance;

        @Option(name = "--service", metaVar = "NAME", forbids = "--json", usage = "only those of that service")
        private String service;

        @Override
        public void run() throws IOException, InterruptedException {
            if (instance != null) {
                ControlResponse answer =
                        client().call(ControlCall.server(instance)).requireSuccess();
                print(answer.text(), FleetText.server(answer));
                return;
            }
            ControlResponse answer = client().call(ControlCall.get("/servers")).requireSuccess();
            print(answer.text(), FleetText.servers(answer, service));
        }
    }

    /** Shows quorum, version and acceptors as each control plane sees them, and which version each data plane has. */
    public static final class Status extends FleetCommand {
        @Override
        public void run() throws IOException, InterruptedException {
            ControlClient client = client();
            Map<String, ControlResponse> answers = client.callEach(ControlCall.get("/status"));
            Map<String, ControlResponse> dataPlanes = dataPlanes(client);
            print(
                    FleetText.statusJson(client.addresses(), answers, dataPlanes),
                    FleetText.status(client.addresses(), answers) + "\n" + FleetText.dataPlanes(dataPlanes));
        }

        /** What could be learned of the control planes is shown also where none answers any more. */
        private static Map<String, ControlResponse> dataPlanes(ControlClient client) throws InterruptedException {
            try {
                return client.callEach(ControlCall.get("/data-planes"));
            } catch (NoResponseException nobody) {
                return Map.of();
            }
        }
    }
}
