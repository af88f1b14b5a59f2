package dewplank.emulator.scenario;

import java.util.List;

/**
 * The servers of a scenario.
 *
 * @param cellSize servers that share a failure cell
 * @param machines at least one type
 */
public record Servers(int count, int cellSize, List<MachineType> machines) {

    /** The same with another number of servers. */
    Servers withCount(int newCount) {
        return new Servers(newCount, cellSize, machines);
    }
}
