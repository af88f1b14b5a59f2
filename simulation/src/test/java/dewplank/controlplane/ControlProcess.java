package dewplank.controlplane;

import dewplank.configuration.Configuration;
import dewplank.exchange.InboundConnection;
import dewplank.exchange.Responder;
import dewplank.http.CallHeaders;
import dewplank.http.Headers;
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

/** The control plane as it ships, its wiring included, on simulated time, links and disk. */
public final class ControlProcess {
    /** What the simulation gives it. */
    public interface Surroundings {
        Scheduler scheduler();

        long wallClockMs();

        RandomGenerator random();

        String newIdentity();

        MessageTransport transport();

        StoreFiles files();

        DiskExecutor disk();

        /** Asks the platform under a fencing number; null says that it could not be read. */
        void list(Consumer<List<Endpoint>> then);
    }

    /** An answer to an operator. */
    public record Answer(int status, String location, byte[] body) {}

    private final ControlPlane plane;
    private OperatorApi operators;
    private boolean takesCalls;

    /** @param diskUsable told when a disk that can't be used now can be */
    public ControlProcess(NodeSettings settings, Surroundings surroundings, MessageCodec codec, Runnable diskUsable)
            throws IOException {
        plane = new ControlPlane(settings, new Environment(surroundings), codec, Policy.ALL_ENABLED, diskUsable);
    }

    /** Begins as the program does. */
    public void start() {
        plane.start();
    }

    /** SIGHUP. */
    public void reload(NodeSettings next) {
        plane.reload(next);
    }

    /** SIGTERM. */
    public void drain(Runnable ended) {
        plane.drain(ended);
    }

    /** Whether it listens for operators. */
    public boolean takesCalls() {
        return takesCalls;
    }

    /** An operator's call. */
    public void call(String method, String target, String ifMatch, byte[] body, Consumer<Answer> then) {
        operators.handle(
                new InboundConnection.Request(method, target, CallHeaders.of("If-Match", ifMatch), body),
                new Caller(then));
    }

    /** The newest configuration known to be chosen; null before the first. */
    public Configuration configuration() {
        return plane.components().history().newest();
    }

    public long version() {
        return plane.components().history().version();
    }

    public boolean holdsList() {
        return plane.components().roles().endpointList().isLeaseHolder();
    }

    public long fencingToken() {
        return plane.components().roles().endpointList().fencingToken();
    }

    public AcceptorSet acceptors() {
        return plane.components().configuration().acceptors();
    }

    /** Whether it knows of a chosen value, so that {@link #acceptors} is a chosen set. */
    public boolean hasChosenValue() {
        return plane.components().configuration().hasChosenValue();
    }

    /** Whether it reports that all founders, without a disk, have ended too early. */
    public boolean areFoundersLost() {
        return plane.components().founderTracker().areFoundersLost();
    }

    /** Whether it serves without a vote, as its disk could not be used when it started. */
    public boolean isDiskRefused() {
        return plane.components().diskFailure().isPresent();
    }

    /** The data planes that it knows as members. */
    public List<Member> members() {
        return plane.components()
                .sessionTable()
                .members(plane.components().loop().now());
    }

    /** What it tells operators of itself. */
    public String status() {
        return new OperatorViews(plane.components()).status();
    }

    /** The identity of its disk. */
    public String identity() {
        return plane.components().storage().identity();
    }

    private static final class Caller implements Responder {
        private final Consumer<Answer> then;

        Caller(Consumer<Answer> then) {
            this.then = then;
        }

        @Override
        public void answer(int status, List<Headers.Field> headers, byte[] body) {
            String location = headers.stream()
                    .filter(f -> f.name().equals("Location"))
                    .map(Headers.Field::value)
                    .findFirst()
                    .orElse(null);
            then.accept(new Answer(status, location, body));
        }

        @Override
        public int hashCode() {
            return 1; // the same in each run: sets of callers are gone through
        }

        @Override
        public boolean equals(Object other) {
            return this == other;
        }
    }

    private final class Environment implements ControlEnvironment {
        private final Surroundings given;

        Environment(Surroundings given) {
            this.given = given;
        }

        @Override
        public Scheduler scheduler() {
            return given.scheduler();
        }

        @Override
        public long wallClockMs() {
            return given.wallClockMs();
        }

        @Override
        public RandomGenerator random() {
            return given.random();
        }

        @Override
        public String newIdentity() {
            return given.newIdentity();
        }

        @Override
        public MessageTransport transport() {
            return given.transport();
        }

        @Override
        public StoreFiles files() {
            return given.files();
        }

        @Override
        public DiskExecutor disk() {
            return given.disk();
        }

        @Override
        public PlatformClient platform() {
            return callback -> given.list(servers -> {
                if (servers == null) {
                    callback.failed("no answer");
                } else {
                    callback.completed(servers);
                }
            });
        }

        @Override
        public ModelServerClient modelServers() {
            return new NoModelServers();
        }

        @Override
        public ServerEndpoint operators(OperatorApi api) {
            operators = api;
            return new ServerEndpoint() {
                @Override
                public void accept() {
                    takesCalls = true;
                }

                @Override
                public void close() {
                    takesCalls = false;
                }
            };
        }

        @Override
        public void stop() {
            // The simulation ends the life itself.
        }
    }

    /** Model servers that never answer. */
    private static final class NoModelServers implements ModelServerClient {
        @Override
        public void requestReport(Endpoint server, BooleanSupplier onlyIf, ResponseHandler handler) {
            // Nothing comes back.
        }

        @Override
        public void sendOrder(Endpoint server, byte[] body, BooleanSupplier onlyIf, ResponseHandler handler) {
            // Nothing comes back.
        }

        @Override
        public void retainOnly(Collection<String> addresses) {
            // Nothing is kept.
        }
    }
}
