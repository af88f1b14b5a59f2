/**
 * Scenarios as data: what a run emulates, read from a TOML file, changed by overrides, and given to the balancer as its
 * settings. Nothing here has behaviour in time; {@link dewplank.emulator.World} plays a scenario. All records are
 * immutable, all times are milliseconds, and work is milliseconds of a standard core. The keys of scenario files are
 * listed in docs/laboratory.md and are older than the names here.
 */
package dewplank.emulator.scenario;
