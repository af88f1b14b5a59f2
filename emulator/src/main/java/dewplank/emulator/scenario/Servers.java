package dewplank.emulator.scenario;

import java.util.List;

/**
 * The servers of a scenario.
 *
 * @param cellSize number of servers in a failure cell
 * @param machines machine types; at least one
 */
public record Servers(int count, int cellSize, List<MachineType> machines) {

    /** Returns a copy with the given number of servers. */
    Servers withCount(int newCount) {
        return new Servers(newCount, cellSize, machines);
    }
}
