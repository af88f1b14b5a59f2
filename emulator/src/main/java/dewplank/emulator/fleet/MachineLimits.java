package dewplank.emulator.fleet;

/**
 * The resources that the settings file grants a process.
 *
 * @param memoryMb memory in MiB
 * @param maxFileDescriptors number of open file descriptors
 */
public record MachineLimits(int memoryMb, int maxFileDescriptors) {
    /** The limits of the machines that the fleet is deployed to. */
    public static final MachineLimits DEPLOYED = new MachineLimits(430, 4_100);
}
