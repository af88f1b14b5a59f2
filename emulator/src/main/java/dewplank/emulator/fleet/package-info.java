/**
 * Runs the two programs of the router fleet as processes on loopback, for tests. It contains a network of machines'
 * addresses, the programs' settings files, and stand-ins for the platform, the servers, the operator and the clients.
 * The stand-ins run on one event loop and record what they observe in one {@link
 * dewplank.emulator.fleet.History}. {@link dewplank.emulator.fleet.FleetAuditor} checks the history against the rules
 * once the run is over. The package does not use the programs' classes: it sees them from outside only.
 */
package dewplank.emulator.fleet;
