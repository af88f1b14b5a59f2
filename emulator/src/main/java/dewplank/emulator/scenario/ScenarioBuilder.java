package dewplank.emulator.scenario;

import java.util.List;
import java.util.function.UnaryOperator;

/** Builds a modified copy of a scenario. */
final class ScenarioBuilder {
    private final Scenario base;
    private double lengthMs;
    private int sidecars;
    private Servers servers;
    private LoadProfile load;
    private ClientBehaviour clients;
    private Rules rules;
    private PeerMessages peerMessages;
    private List<Fault> faults;

    ScenarioBuilder(Scenario base) {
        this.base = base;
        this.lengthMs = base.lengthMs();
        this.sidecars = base.sidecars();
        this.servers = base.servers();
        this.load = base.load();
        this.clients = base.clients();
        this.rules = base.rules();
        this.peerMessages = base.peerMessages();
        this.faults = base.faults();
    }

    ScenarioBuilder lengthMs(double value) {
        lengthMs = value;
        return this;
    }

    ScenarioBuilder sidecars(int value) {
        sidecars = value;
        return this;
    }

    ScenarioBuilder servers(Servers value) {
        servers = value;
        return this;
    }

    ScenarioBuilder load(LoadProfile value) {
        load = value;
        return this;
    }

    ScenarioBuilder clients(ClientBehaviour value) {
        clients = value;
        return this;
    }

    ScenarioBuilder rules(Rules value) {
        rules = value;
        return this;
    }

    ScenarioBuilder peerMessages(PeerMessages value) {
        peerMessages = value;
        return this;
    }

    ScenarioBuilder eachFault(UnaryOperator<Fault> change) {
        faults = faults.stream().map(change).toList();
        return this;
    }

    Scenario build() {
        return new Scenario(
                base.name(),
                lengthMs,
                base.tickMs(),
                sidecars,
                base.zones(),
                servers,
                base.network(),
                base.connections(),
                base.directory(),
                base.loadReports(),
                load,
                clients,
                base.classes(),
                rules,
                base.tenantsAndKeys(),
                peerMessages,
                faults);
    }
}
