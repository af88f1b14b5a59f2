package dewplank;

import dewplank.client.ConfigurationChanges;
import dewplank.client.TenantText;
import dewplank.configuration.Configuration;
import java.io.IOException;

/** Commands about tenants. */
final class TenantCommands {
    private TenantCommands() {}

    /** Lists the tenants of the configuration. */
    public static final class Tenants extends FleetCommand {
        @Override
        public void run() throws IOException, InterruptedException {
            Configuration configuration = ConfigurationChanges.parse(new ConfigurationChanges(client()).read());
            print(TenantText.json(configuration), TenantText.of(configuration));
        }
    }
}
