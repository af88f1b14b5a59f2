package dewplank.fleet.soak;

import com.google.gson.JsonObject;
import dewplank.emulator.fleet.FleetConfiguration;
import dewplank.emulator.fleet.Futures;
import dewplank.emulator.fleet.RouteSpec;
import dewplank.emulator.fleet.StandInOperator;
import dewplank.fleet.FleetHarness;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Does the operator's steps, each on the newest configuration that is known to be in force. On one thread. */
final class ConfigurationChanges {
    private static final int OK = 200;

    private static final String VERSION = "config_version";

    private final FleetHarness harness;
    private final StandInOperator operator;
    private final Map<Long, FleetConfiguration> sent = new HashMap<>();
    private FleetConfiguration current = FleetHarness.INITIAL;
    private long lastVersion = current.version();

    ConfigurationChanges(FleetHarness harness) {
        this.harness = harness;
        this.operator = harness.operator();
        remember(current);
    }

    void run(ChangeStep step) {
        switch (step.kind()) {
            case TOGGLE_ROUTE -> {
                FleetConfiguration next = remember(toggled(step.route()));
                settle(next, operator.patch(next, current, step.firstControl()), step);
            }
            case MOVE_ROUTE -> {
                FleetConfiguration next = remember(moved());
                settle(next, operator.put(next, current.version(), step.firstControl()), step);
            }
            case RACE -> race(step);
        }
    }

    private void race(ChangeStep step) {
        FleetConfiguration one = remember(toggled(step.route()));
        FleetConfiguration two = remember(moved());
        CompletableFuture<Integer> first = operator.put(one, current.version(), step.firstControl());
        CompletableFuture<Integer> second = operator.patch(two, current, step.firstControl() + 1);
        if (Futures.await(first) == OK) {
            Futures.await(second);
            current = one;
        } else {
            settle(two, second, step);
        }
    }

    private FleetConfiguration remember(FleetConfiguration configuration) {
        sent.put(configuration.version(), configuration);
        return configuration;
    }

    private FleetConfiguration toggled(int number) {
        RouteSpec route = RouteSpec.to("plain", "soak" + number, RouteSpec.Kind.SAFE);
        long version = ++lastVersion;
        return current.routes().contains(route) ? current.without(version, route.name()) : current.with(version, route);
    }

    private FleetConfiguration moved() {
        RouteSpec route = current.route(FleetHarness.READ.name());
        boolean isMoved = !route.equals(FleetHarness.READ);
        return current.with(++lastVersion, isMoved ? FleetHarness.READ : route.movedTo("other"));
    }

    /**
     * Without a clear answer the change may be in force or not: one control plane is asked. It need not answer, as a
     * majority may be down meanwhile; so this is no read that the auditor checks.
     */
    private void settle(FleetConfiguration next, CompletableFuture<Integer> status, ChangeStep step) {
        if (Futures.await(status) == OK) {
            current = next;
            return;
        }
        JsonObject view =
                harness.operator().view(harness.control(step.firstControl()).machine(), "/configuration");
        if (view.has(VERSION)) {
            current = sent.getOrDefault(view.get(VERSION).getAsLong(), current);
        }
    }
}
