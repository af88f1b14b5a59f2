package dewplank.register;

import java.util.SplittableRandom;

/** Simulates operators who send changes and reads to random processes, and resend changes with unknown outcome. */
final class OperatorLoad {
    private static final double MEAN_INTERVAL_MS = 90;
    private static final double TIMEOUT_MS = 900;

    private final SimulatedFleet fleet;
    private final SplittableRandom random;
    private int lastVersion;
    private int newestConfirmed;
    private boolean isStopped;

    OperatorLoad(SimulatedFleet fleet, SplittableRandom random) {
        this.fleet = fleet;
        this.random = random;
    }

    void start() {
        sendNext();
    }

    void stop() {
        isStopped = true;
    }

    private void sendNext() {
        if (isStopped) {
            return;
        }
        if (random.nextInt(3) == 0) {
            fleet.read(fleet.any(random), TIMEOUT_MS, this::handleOutcome);
        } else {
            lastVersion++;
            change(lastVersion, newestConfirmed, random.nextInt(3));
        }
        fleet.events().after(random.nextDouble() * 2 * MEAN_INTERVAL_MS, this::sendNext);
    }

    private void change(int version, int base, int maxResends) {
        fleet.change(fleet.any(random), version, base, TIMEOUT_MS, outcome -> {
            handleOutcome(outcome);
            if (outcome instanceof Outcome.Unknown && maxResends > 0 && !isStopped) {
                change(version, base, maxResends - 1);
            }
        });
    }

    private void handleOutcome(Outcome<String> outcome) {
        if (outcome instanceof Outcome.Confirmed<String> confirmed) {
            newestConfirmed = VersionHistory.newest(confirmed.value().payload());
        }
    }
}
