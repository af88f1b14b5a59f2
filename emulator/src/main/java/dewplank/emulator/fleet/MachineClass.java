package dewplank.emulator.fleet;

/** What a machine of the fleet runs, by the names of the settings file. */
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
