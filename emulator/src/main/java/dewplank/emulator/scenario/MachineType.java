package dewplank.emulator.scenario;

/**
 * A machine type on which servers run.
 *
 * @param weight weight of the type in the distribution of servers over types
 * @param speed work that a core completes per millisecond
 * @param speedSpread coefficient of variation of the speed among servers
 * @param slotsPerCore number of slots, per core
 * @param queuePerCore queue capacity, per core
 * @param coldSpeedFactor speed of a process that has just started, as a fraction of the warm speed
 * @param warmUpMs time from the start of a process until it is warm
 * @param pauseIntervalMs mean interval between pauses, such as garbage collections; 0 for none
 * @param pauseMs mean duration of a pause
 * @param errorRate fraction of requests that fail
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
        double pauseIntervalMs,
        double pauseMs,
        double errorRate,
        OverloadSlowdown overloadSlowdown) {}
