/**
 * Runs the emulator's model in real time: the model's servers, directory, peer network and clients listen and connect
 * on loopback sockets, and each sidecar runs as a process. {@link dewplank.emulator.loopback.LoopbackRun} runs one
 * scenario. The model runs on one event loop, whose delays are measured. A run with delays above the limits is marked
 * as invalid, because its figures then describe the emulator and not the sidecars. The load tool and the stand-in fleet
 * also use {@link dewplank.emulator.loopback.HttpClient}, {@link dewplank.emulator.loopback.HttpEndpoint} and {@link
 * dewplank.emulator.loopback.ProgramProcess}.
 */
package dewplank.emulator.loopback;
