package dewplank.controlplane;

import dewplank.configuration.Configuration;
import dewplank.exchange.InboundConnection;
import dewplank.exchange.Responder;
import dewplank.http.Headers;
import dewplank.http.SimulatedRequestHeaders;
import dewplank.membership.Member;
import dewplank.message.Endpoint;
import dewplank.message.MessageCodec;
import dewplank.message.MessageTransport;
import dewplank.net.Scheduler;
import dewplank.net.ServerEndpoint;
import dewplank.register.AcceptorSet;
import dewplank.routing.Policy;
import dewplank.settings.NodeSettings;
import dewplank.store.DiskExecutor;
import dewplank.store.StoreFiles;
import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** The production control plane, including its wiring, on simulated time, links and disk. */
public final class ControlProcess {
    /** The external dependencies that the simulation provides. */
    public interface Dependencies {
        Scheduler scheduler();

        long wallClockMs();

        RandomGenerator random();

        String newIdentity();

        MessageTransport transport();

        StoreFiles files();

        DiskExecutor disk();

        /** Requests the list of instances from the platform; {@code callback} receives null if the request failed. */
        void fetchInstances(Consumer<List<Endpoint>> callback);
    }

    /** A response to an operator. */
    public record Response(int status, String location, byte[] body) {}

    private final ControlPlane plane;
    private OperatorApi operatorApi;
    private boolean acceptsRequests;

    /** @param diskUsable run when a disk that was unusable at the start becomes usable */
    public ControlProcess(NodeSettings settings, Dependencies dependencies, MessageCodec codec, Runnable diskUsable)
            throws IOException {
        plane = new ControlPlane(settings, new Environment(dependencies), codec, Policy.ALL_ENABLED, diskUsable);
    }

    /** Starts the control plane in the same way as the program. */
    public void start() {
        plane.start();
    }

    /** Reloads the settings, as on SIGHUP. */
    public void reload(NodeSettings next) {
        plane.reload(next);
    }

    /** Drains the control plane, as on SIGTERM, then runs {@code ended}. */
    public void drain(Runnable ended) {
        plane.drain(ended);
    }

    /** Whether the control plane accepts operators' requests. */
    public boolean acceptsRequests() {
        return acceptsRequests;
    }

    /** Handles a request from an operator. */
    public void handleRequest(String method, String target, String ifMatch, byte[] body, Consumer<Response> callback) {
        operatorApi.handle(
                new InboundConnection.Request(method, target, SimulatedRequestHeaders.of("If-Match", ifMatch), body),
                new CallbackResponder(callback));
    }

    /** The newest configuration that this control plane knows to be chosen; null before the first. */
    public Configuration configuration() {
        return plane.components().history().newest();
    }

    public long version() {
        return plane.components().history().version();
    }

    public boolean isListLeaseHolder() {
        return plane.components().roles().endpointList().isLeaseHolder();
    }

    public long fencingToken() {
        return plane.components().roles().endpointList().fencingToken();
    }

    public AcceptorSet acceptors() {
        return plane.components().configuration().acceptors();
    }

    /** Whether this control plane has a chosen value, so that {@link #acceptors} is a chosen set. */
    public boolean hasChosenValue() {
        return plane.components().configuration().hasChosenValue();
    }

    /** Whether this control plane reports that all founders, which have no disk, stopped too early. */
    public boolean areFoundersLost() {
        return plane.components().founderTracker().areFoundersLost();
    }

    /** Whether this control plane serves without a vote because its disk was unusable when it started. */
    public boolean isDiskRefused() {
        return plane.components().diskFailure().isPresent();
    }

    /** The data planes that this control plane lists as members. */
    public List<Member> members() {
        return plane.components()
                .sessionTable()
                .members(plane.components().loop().now());
    }

    /** The status document for operators. */
    public String status() {
        return new OperatorViews(plane.components()).status();
    }

    /** The identity of this control plane's disk. */
    public String identity() {
        return plane.components().storage().identity();
    }

    private static final class CallbackResponder implements Responder {
        private final Consumer<Response> callback;

        CallbackResponder(Consumer<Response> callback) {
            this.callback = callback;
        }

        @Override
        public void respond(int status, List<Headers.Field> headers, byte[] body) {
            String location = headers.stream()
                    .filter(f -> f.name().equals("Location"))
                    .map(Headers.Field::value)
                    .findFirst()
                    .orElse(null);
            callback.accept(new Response(status, location, body));
        }

        @Override
        public int hashCode() {
            return 1; // constant, so that sets of responders have the same iteration order in each run
        }

        @Override
        public boolean equals(Object other) {
            return this == other;
        }
    }

    private final class Environment implements ControlEnvironment {
        private final Dependencies dependencies;

        Environment(Dependencies dependencies) {
            this.dependencies = dependencies;
        }

        @Override
        public Scheduler scheduler() {
            return dependencies.scheduler();
        }

        @Override
        public long wallClockMs() {
            return dependencies.wallClockMs();
        }

        @Override
        public RandomGenerator random() {
            return dependencies.random();
        }

        @Override
        public String newIdentity() {
            return dependencies.newIdentity();
        }

        @Override
        public MessageTransport transport() {
            return dependencies.transport();
        }

        @Override
        public StoreFiles files() {
            return dependencies.files();
        }

        @Override
        public DiskExecutor disk() {
            return dependencies.disk();
        }

        @Override
        public PlatformClient platform() {
            return callback -> dependencies.fetchInstances(servers -> {
                if (servers == null) {
                    callback.failed("no response");
                } else {
                    callback.completed(servers);
                }
            });
        }

        @Override
        public ModelServerClient modelServers() {
            return new UnresponsiveModelServers();
        }

        @Override
        public ServerEndpoint operators(OperatorApi api) {
            operatorApi = api;
            return new ServerEndpoint() {
                @Override
                public void accept() {
                    acceptsRequests = true;
                }

                @Override
                public void close() {
                    acceptsRequests = false;
                }
            };
        }

        @Override
        public void stop() {
            // The simulation terminates the process itself.
        }
    }

    /** Model servers that never respond. */
    private static final class UnresponsiveModelServers implements ModelServerClient {
        @Override
        public void requestReport(Endpoint server, BooleanSupplier onlyIf, ResponseHandler handler) {
            // No response arrives.
        }

        @Override
        public void sendOrder(Endpoint server, byte[] body, BooleanSupplier onlyIf, ResponseHandler handler) {
            // No response arrives.
        }

        @Override
        public void retainOnly(Collection<String> addresses) {
            // There are no connections to drop.
        }
    }
}
