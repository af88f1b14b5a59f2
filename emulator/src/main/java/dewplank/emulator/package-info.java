/**
 * The model of what surrounds a sidecar: servers, the endpoint directory, the network, clients, and the faults that are
 * injected into them. {@link dewplank.emulator.World} ties the parts of a run together and plays a {@link
 * dewplank.emulator.scenario.Scenario}.
 *
 * <p>The model is written once, against {@link dewplank.emulator.Scheduler}. It knows neither sockets nor how time
 * passes: the packages {@code virtualtime} and {@code loopback} drive it. It decides nothing about requests: that is
 * the balancer's part. What it does is recorded as {@link dewplank.emulator.RecordedEvent}s, which the laboratory's
 * auditor judges.
 *
 * <p>Times are milliseconds on the run's clock, and work is milliseconds of a standard core. One thread at a time uses
 * a world, so there are no locks. All random numbers come from {@link dewplank.emulator.RandomStreams}: the same
 * scenario and seed give the same events in virtual time, which {@code EmulatorGoldenTest} checks.
 */
package dewplank.emulator;
