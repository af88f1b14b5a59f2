/**
 * Runs the two programs of the router fleet as processes on loopback, for tests. The package assigns addresses to the
 * machines, writes the programs' settings files, and provides stand-ins for the platform, the servers, the operator and
 * the clients. The stand-ins run on one event loop and record what they observe in one {@link
 * dewplank.emulator.fleet.History}. {@link dewplank.emulator.fleet.FleetAuditor} checks the history against the rules
 * after the run. The package does not use the programs' classes; it accesses the programs through their external
 * interfaces only.
 */
package dewplank.emulator.fleet;
