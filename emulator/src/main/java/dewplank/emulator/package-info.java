/**
 * A model of the environment of sidecars: servers, the endpoint directory, the network, clients, and the faults that
 * are injected into them. {@link dewplank.emulator.EmulatedEnvironment} connects the parts and runs a {@link
 * dewplank.emulator.scenario.Scenario}.
 *
 * <p>The model depends on {@link dewplank.emulator.Scheduler} only, and is independent of sockets and of the source of
 * time: the packages {@code virtualtime} and {@code loopback} drive it. It makes no routing decisions; the balancer
 * under test makes them. It records {@link dewplank.emulator.RecordedEvent}s, which the laboratory's auditor checks.
 *
 * <p>Times are milliseconds on the run's clock, and work is in milliseconds of a standard core. A run's model is
 * confined to one thread at a time and uses no locks. All random numbers come from {@link
 * dewplank.emulator.RandomStreams}: in virtual time, the same scenario and seed produce the same events, which {@code
 * EmulatorGoldenTest} checks.
 */
package dewplank.emulator;
