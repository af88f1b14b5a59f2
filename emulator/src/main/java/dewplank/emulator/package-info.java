/**
 * The model of the world round a sidecar: servers, the directory, the network, clients and what goes wrong with them.
 * It is written once, against {@link dewplank.emulator.Scheduler}, and knows neither sockets nor how time passes; the
 * packages {@code virtualtime} and {@code loopback} drive it. Times are milliseconds, work is milliseconds of a
 * standard core. One thread at a time touches a world. Whatever is drawn comes from {@link
 * dewplank.emulator.RandomStreams}.
 */
package dewplank.emulator;
