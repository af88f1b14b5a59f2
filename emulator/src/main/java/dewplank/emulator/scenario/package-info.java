/**
 * Scenarios, which describe what a run emulates: read from a TOML file, modified by overrides, and converted into
 * balancer settings. This package contains data only; {@link dewplank.emulator.EmulatedEnvironment} runs a scenario.
 * All records are immutable, all times are milliseconds, and work is in milliseconds of a standard core. The keys of
 * scenario files are listed in docs/laboratory.md; they are older than the names in this package and differ from them.
 */
package dewplank.emulator.scenario;
