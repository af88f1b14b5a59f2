package dewplank;

import dewplank.client.ConfigurationChanges;
import dewplank.client.ControlCall;
import dewplank.client.ControlClient;
import dewplank.client.ControlResponse;
import dewplank.client.RouteExplanation;
import dewplank.configuration.Configuration;
import java.io.IOException;
import org.kohsuke.args4j.Argument;

/** Commands about the routing of requests. */
final class RouteCommands {
    private RouteCommands() {}

    /** Explains which route a request matches and which servers it can be sent to. */
    public static final class Explain extends FleetCommand {
        @Argument(index = 0, required = true, metaVar = "HOST", usage = "as in the Host header")
        private String host;

        @Argument(index = 1, required = true, metaVar = "PATH", usage = "of the request, from its first slash")
        private String path;

        @Override
        public void run() throws IOException, InterruptedException {
            if (!path.startsWith("/")) {
                throw new UsageException("PATH should begin with a slash");
            }
            ControlClient client = client();
            Configuration configuration = ConfigurationChanges.parse(new ConfigurationChanges(client).read());
            ControlResponse servers = client.call(ControlCall.get("/servers")).requireSuccess();
            RouteExplanation explanation = RouteExplanation.of(configuration, servers, host, path);
            print(explanation.json(), explanation.text());
        }
    }
}
