package dewplank.emulator.fleet;

import dewplank.emulator.loopback.HttpClient;
import dewplank.http.MessageWriter;
import dewplank.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** Runs a fleet of processes on loopback with stand-ins for the platform, the servers, the operator and the clients. */
public final class StandInFleet implements AutoCloseable {
    private static final int MAX_SEEDS = 3;
    private static final List<String> ZONES = List.of("ost", "vest", "sor");
    private static final double READINESS_TIMEOUT_MS = 1_000;
    private static final int EXIT_TIMEOUT_S = 10;

    /** The command lines of the two programs. */
    public record Commands(List<String> control, List<String> data) {}

    private final EventLoop loop = new EventLoop();
    private final History history = new History();
    private final FleetNetwork network = FleetNetwork.reserve();
    private final ContextHandles handles = new ContextHandles(history);
    private final StandInPlatform platform = new StandInPlatform(loop, history);
    private final FleetClient client = new FleetClient(loop, history);
    private final List<FleetProcess> control = new ArrayList<>();
    private final List<FleetProcess> data = new ArrayList<>();
    private final StandInOperator operator;
    private final Thread shutdownHook = new Thread(this::killAll, "fleet");
    private int serverCount;

    /** Opens the stand-ins' sockets and starts no process. {@code folder} stores settings, logs and the disks' data. */
    public StandInFleet(Commands commands, MachineLimits limits, Path folder, int controlMachines, int dataMachines)
            throws IOException {
        List<InetSocketAddress> seeds = new ArrayList<>();
        List<FleetMachine> core = machines(controlMachines, this::controlMachine);
        core.stream().limit(MAX_SEEDS).forEach(machine -> seeds.add(machine.control()));
        for (FleetMachine machine : core) {
            platform.listenFor(machine);
            control.add(new FleetProcess(loop, history, machine, limits, seeds, commands.control(), folder));
        }
        for (FleetMachine machine : machines(dataMachines, this::createDataMachine)) {
            data.add(new FleetProcess(loop, history, machine, limits, seeds, commands.data(), folder));
        }
        operator = new StandInOperator(loop, history, core);
        new StallRecorder(loop, history).start();
        Runtime.getRuntime().addShutdownHook(shutdownHook); // kills the processes if the test is aborted
    }

    private static List<FleetMachine> machines(int count, Function<Integer, FleetMachine> machine) {
        List<FleetMachine> machines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            machines.add(machine.apply(i));
        }
        return machines;
    }

    private FleetMachine controlMachine(int index) {
        return new FleetMachine(
                "core-" + index, MachineClass.CORE, network.control(index), zone(index), network.platform(index));
    }

    private FleetMachine createDataMachine(int index) {
        return new FleetMachine(
                "edge-" + index, MachineClass.EDGE, network.data(index), zone(index), network.platform(0));
    }

    private static String zone(int index) {
        return ZONES.get(index % ZONES.size());
    }

    /** Starts all processes for the first time. */
    public void startFirst() throws IOException {
        for (FleetProcess process : processes()) {
            process.startFirst();
        }
    }

    private List<FleetProcess> processes() {
        List<FleetProcess> processes = new ArrayList<>(control);
        processes.addAll(data);
        return processes;
    }

    /** The processes of all control planes. */
    public List<FleetProcess> control() {
        return control;
    }

    /** The process of one control plane; the index starts at 0. */
    public FleetProcess control(int index) {
        return control.get(index);
    }

    /** The processes of all data planes. */
    public List<FleetProcess> data() {
        return data;
    }

    /** The machine of one data plane; the index starts at 0. */
    public FleetMachine dataMachine(int index) {
        return data.get(index).machine();
    }

    /** The events of all stand-ins. */
    public History history() {
        return history;
    }

    /** The stand-in for the platform. */
    public StandInPlatform platform() {
        return platform;
    }

    /** The stand-in for the operator. */
    public StandInOperator operator() {
        return operator;
    }

    /** The stand-in for clients. */
    public FleetClient client() {
        return client;
    }

    /** The loop's time in milliseconds, which is also the time of events. */
    public double now() {
        return loop.now();
    }

    /** Starts one client for each data plane, which sends the given requests in turn. */
    public SteadyLoad load(List<ClientRequest> requests) {
        return new SteadyLoad(loop, client, dataMachines(), requests);
    }

    /** Starts one client with a persistent connection for each data plane and each of the given requests. */
    public KeepAliveLoad keepAliveLoad(List<ClientRequest> requests) {
        return new KeepAliveLoad(loop, history, client, dataMachines(), requests);
    }

    private List<FleetMachine> dataMachines() {
        return data.stream().map(FleetProcess::machine).toList();
    }

    /** Starts a plain server and adds it to the endpoint list. */
    public PlainServer plainServer(String service) throws IOException {
        InetSocketAddress at = network.server(serverCount);
        PlainServer server = new PlainServer(loop, history, identity(service, ServerStage.NONE, at), at);
        platform.add(server.identity());
        return server;
    }

    /** Starts a model server and adds it to the endpoint list. */
    public ModelServer modelServer(String service, ServerStage stage) throws IOException {
        InetSocketAddress at = network.server(serverCount);
        ModelServer server = new ModelServer(loop, history, identity(service, stage, at), at, handles);
        platform.add(server.identity());
        return server;
    }

    /** Crashes a server and starts one of another service at its address, without a change to the endpoint list. */
    public PlainServer reuseAddress(StandInServer server, String service) throws IOException {
        server.crash();
        InetSocketAddress at = server.address();
        return new PlainServer(loop, history, identity(service, ServerStage.NONE, at), at);
    }

    private ServerIdentity identity(String service, ServerStage stage, InetSocketAddress at) {
        int number = serverCount++;
        return StandInServer.identity("i-" + service + "-" + number, service, zone(number), stage, at);
    }

    /** Returns the status of a data plane's readiness check; 0 if it does not respond. */
    public int readiness(FleetMachine machine) {
        CompletableFuture<Integer> status = new CompletableFuture<>();
        loop.execute(() -> {
            HttpClient http = new HttpClient(loop, machine.readiness(), 1);
            HttpClient.Call call = http.call(
                    MessageWriter.request("GET", "/readiness", machine.node()).noBody(), response -> {
                        http.close();
                        status.complete(response.map(complete -> complete.head().status())
                                .orElse(0));
                    });
            loop.after(READINESS_TIMEOUT_MS, () -> {
                if (status.complete(0)) {
                    call.cancel();
                }
            });
        });
        return Futures.await(status);
    }

    private void killAll() {
        processes().forEach(FleetProcess::destroy);
    }

    /** Kills all processes and stops the stand-ins. */
    @Override
    public void close() throws IOException, InterruptedException {
        killAll();
        for (FleetProcess process : processes()) {
            process.awaitEnd(EXIT_TIMEOUT_S);
        }
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
        loop.stop();
        network.close();
    }
}
