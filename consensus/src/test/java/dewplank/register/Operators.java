package dewplank.register;

import java.util.SplittableRandom;

/** Operators that change and read at random processes and resend what got no clear answer. */
final class Operators {
    private static final double USUAL_PAUSE = 90;
    private static final double PATIENCE = 900;

    private final SimulatedFleet fleet;
    private final SplittableRandom random;
    private int lastVersion;
    private int newestSeen;
    private boolean over;

    Operators(SimulatedFleet fleet, SplittableRandom random) {
        this.fleet = fleet;
        this.random = random;
    }

    void begin() {
        next();
    }

    void end() {
        over = true;
    }

    private void next() {
        if (over) {
            return;
        }
        if (random.nextInt(3) == 0) {
            fleet.read(fleet.any(random), PATIENCE, this::note);
        } else {
            lastVersion++;
            send(lastVersion, newestSeen, random.nextInt(3));
        }
        fleet.events().after(random.nextDouble() * 2 * USUAL_PAUSE, this::next);
    }

    private void send(int version, int base, int resends) {
        fleet.change(fleet.any(random), version, base, PATIENCE, outcome -> {
            note(outcome);
            if (outcome instanceof Outcome.Unknown && resends > 0 && !over) {
                send(version, base, resends - 1);
            }
        });
    }

    private void note(Outcome outcome) {
        if (outcome instanceof Outcome.Confirmed) {
            newestSeen =
                    VersionHistory.newest(((Outcome.Confirmed) outcome).value().payload());
        }
    }
}
