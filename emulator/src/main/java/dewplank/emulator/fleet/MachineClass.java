package dewplank.emulator.fleet;

/** The program that a machine of the fleet runs, with its name in the settings file. */
public enum MachineClass {
    /** A control plane. */
    CORE("core"),
    /** A data plane. */
    EDGE("edge");

    private final String settingsName;

    MachineClass(String settingsName) {
        this.settingsName = settingsName;
    }

    String settingsName() {
        return settingsName;
    }
}
