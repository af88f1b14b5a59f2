package dewplank.emulator.scenario;

/**
 * A type of machine that servers run on.
 *
 * @param weight of the type among all types, by number of servers
 * @param speed work done by a core in a millisecond
 * @param speedSpread coefficient of variation of the speed from server to server
 * @param slotsPerCore requests that share a core
 * @param queuePerCore requests that wait for a slot, for each core
 * @param coldSpeedFactor speed of a process that has just started, as a fraction of the warm speed
 * @param warmUpMs until a process that started is warm
 * @param pauseEveryMs mean time between pauses, such as a garbage collector's; 0 for none
 * @param pauseMs mean duration of a pause
 * @param errorRate fraction of requests that end in an error
 */
public record MachineType(
        String name,
        double weight,
        int cores,
        double speed,
        double speedSpread,
        double slotsPerCore,
        double queuePerCore,
        double coldSpeedFactor,
        double warmUpMs,
        double pauseEveryMs,
        double pauseMs,
        double errorRate,
        OverloadSlowdown overloadSlowdown) {}
