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

/** Runs the operator's steps on one thread, each based on the newest configuration that is known to be committed. */
final class ChangeStepRunner {
    private static final int OK = 200;

    private static final String VERSION = "config_version";

    private final FleetHarness harness;
    private final StandInOperator operator;
    private final Map<Long, FleetConfiguration> sent = new HashMap<>();
    private FleetConfiguration current = FleetHarness.INITIAL;
    private long lastVersion = current.version();

    ChangeStepRunner(FleetHarness harness) {
        this.harness = harness;
        this.operator = harness.operator();
        recordSent(current);
    }

    void run(ChangeStep step) {
        switch (step.kind()) {
            case TOGGLE_ROUTE -> {
                FleetConfiguration next = recordSent(withRouteToggled(step.route()));
                updateCurrent(next, operator.patch(next, current, step.firstControl()), step);
            }
            case MOVE_ROUTE -> {
                FleetConfiguration next = recordSent(withRouteMoved());
                updateCurrent(next, operator.put(next, current.version(), step.firstControl()), step);
            }
            case RACE -> race(step);
        }
    }

    private void race(ChangeStep step) {
        FleetConfiguration one = recordSent(withRouteToggled(step.route()));
        FleetConfiguration two = recordSent(withRouteMoved());
        CompletableFuture<Integer> first = operator.put(one, current.version(), step.firstControl());
        CompletableFuture<Integer> second = operator.patch(two, current, step.firstControl() + 1);
        if (Futures.await(first) == OK) {
            Futures.await(second);
            current = one;
        } else {
            updateCurrent(two, second, step);
        }
    }

    private FleetConfiguration recordSent(FleetConfiguration configuration) {
        sent.put(configuration.version(), configuration);
        return configuration;
    }

    private FleetConfiguration withRouteToggled(int number) {
        RouteSpec route = RouteSpec.to("plain", "soak" + number, RouteSpec.Kind.SAFE);
        long version = ++lastVersion;
        return current.routes().contains(route) ? current.without(version, route.name()) : current.with(version, route);
    }

    private FleetConfiguration withRouteMoved() {
        RouteSpec route = current.route(FleetHarness.READ.name());
        boolean isMoved = !route.equals(FleetHarness.READ);
        return current.with(++lastVersion, isMoved ? FleetHarness.READ : route.withService("other"));
    }

    /**
     * Updates the current configuration after a change. If its response is not conclusive, it is unknown whether the
     * change was committed, so one control plane is queried. That may fail while a majority is down, so the auditor
     * does not check this read.
     */
    private void updateCurrent(FleetConfiguration next, CompletableFuture<Integer> status, ChangeStep step) {
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
